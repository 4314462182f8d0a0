"""Lending decisions, without I/O: teams borrow unused quota and return it when it is reclaimed.

`leader/reclaim/` carries out what is decided here. Start with `entitlement`, then `reclaim`.
"""
