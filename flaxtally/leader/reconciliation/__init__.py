"""Reconciliation: what heartbeats, missing heartbeats and the cloud prove about machines and tasks.

It decides which heartbeats count (`heartbeat_handler`), compares reported tasks with the placements
in the log (`reconciler`, `orphans`), finishes attempts (`attempt_finisher`), and finds the machines
that send no heartbeats (`machine_monitor`, `health_checks`), that the cloud is about to take back
(`preemption_notices`), that are faulty (`failure_attribution`) or slow (`stragglers`).

Start reading at `heartbeat_handler`, then `reconciler`.
"""
