"""Which pending task goes to which machine, and which tasks are preempted for it.

Owns the pending queue and the urgency of its jobs, the passes over it, the index of schedulable
machines, and preemption with its reservations. Start with `scheduler`, then `scheduling_pass`.
"""
