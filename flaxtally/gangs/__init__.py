"""Gangs: jobs whose tasks all run at the same time or not at all. Decisions without I/O.

The leader's duties import it (`lead/gangs.py` carries out what is decided here). Start with `life`.
"""
