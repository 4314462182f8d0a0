"""Clients of the outside systems: state service, cloud, workers.

Owns their calls, budgets and outcomes; decides nothing. Start with `store`.
"""
