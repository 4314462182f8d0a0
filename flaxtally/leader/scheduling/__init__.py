"""Which pending task goes to which machine, and whose place it may take.

Owns the pending queue, the passes over it, reservations on machines and preemption. Start with
`scheduler`.
"""
