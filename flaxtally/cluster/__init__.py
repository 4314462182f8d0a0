"""Controllers among themselves: links, frames through the state service, who leads.

Owns the leader key, the term and the view of live controllers. Start with `election`.
"""
