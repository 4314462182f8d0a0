"""The leader: the one controller that makes the decisions for the fleet.

It decides from the replicated state and from what machines and the cloud prove by their reports.

The duties of a term are actors in packages of their own: `scheduling` and `gang_scheduling` place
tasks, `reclaim` takes borrowed quota back, `reconciliation` derives from heartbeats what runs
where, and `autoscaling` provisions and terminates machines. `jobs` replies to users, and
`commands` sends commands to the machines.

Start reading at `leader` (when terms begin and end), then `term_duties` (how the duties are
connected), then `scheduling`.
"""
