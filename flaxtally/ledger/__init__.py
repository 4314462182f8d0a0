"""The ledger: its records, the state that they produce, and their commits to the store.

Imports clients and the leader key; planning and the leader's duties import it. Start with
`records`, then `cluster_state` (the replicated state machine) and `write_ahead_log`.
"""
