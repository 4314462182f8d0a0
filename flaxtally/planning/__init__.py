"""Machines and decisions about them, without I/O: where a task goes, what to rent, what to empty.

Imports the protocol and the ledger's content; the leader's duties import it. Start with `fleet`,
then `placement` and `fill`.
"""
