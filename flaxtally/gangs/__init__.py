"""Gang scheduling decisions, without I/O: all tasks of a gang run at the same time or none does.

`leader/gang_scheduling/` carries out what is decided here. Begin with `lifecycle`.
"""
