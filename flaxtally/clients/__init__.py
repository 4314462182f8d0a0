"""Clients of the external systems: key-value store, cloud, workers.

Owns their calls, call budgets and outcomes; makes no decisions. Start with `key_value_store`.
"""
