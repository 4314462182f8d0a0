"""Lending decisions, without I/O: teams borrow unused quota and return it when it is reclaimed.

The package `leader/reclaim/` carries these decisions out. Start with `entitlement`, then `reclaim`.
"""
