"""The ledger: its records, its content, and how it is committed to the state service.

Imports clients and the leader key; planning and the leader's duties import it. Start with `book`.
"""
