"""The leader: one controller decides for all, by the replicated state and by proofs from machines.

A term's duties are actors in rooms of their own: `scheduling` and `gang_scheduling` place tasks,
`reclaim` takes borrowed quota back, `reconciliation` says what heartbeats prove, `autoscaling`
provisions and terminates machines. `jobs` answers users, `commands` reaches the machines.

Begin with `leader` (when terms begin and end), then `term_duties` (how the duties are connected),
then `scheduling`.
"""
