"""Places pending tasks on machines, and preempts other tasks for them.

Owns the pending queue and the urgency of its jobs, the scheduling passes over the queue, the index
of schedulable machines, and preemption with its reservations. Start with `scheduler`, then
`scheduling_pass`.
"""
