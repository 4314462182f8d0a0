"""Clients of the outside systems: key-value store, cloud, workers.

Owns their calls, budgets and outcomes; decides nothing. Start with `key_value_store`.
"""
