"""Communication between controllers: links, typed messages, the store relay, leader election.

Owns the leader key, the term and the membership view. Start with `leader_election` and
`peer_links`.
"""
