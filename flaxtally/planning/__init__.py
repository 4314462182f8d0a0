"""The fleet's machines and decisions about them, without I/O.

Decides where a task is placed, which machines to provision and which machine to empty. Imports the
protocol and the ledger's content; the leader's duties import it. Start with `fleet`, then
`placement` and `provisioning`.
"""
