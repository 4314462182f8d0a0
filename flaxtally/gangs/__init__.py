"""Gang scheduling decisions, without I/O: all tasks of a gang run at the same time or none does.

`leader/gang_scheduling/` executes the decisions. Begin with `lifecycle`.
"""
