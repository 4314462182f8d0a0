"""Reconciliation: what heartbeats, silence and the cloud prove about machines and attempts.

Owns a term's evidence: which heartbeats count (`heartbeat_handler`), how reported tasks compare
with the placements of the log (`reconciler`, `orphans`), when an attempt is over
(`attempt_finisher`), which machines are silent (`machine_monitor`, `health_checks`), about to be
taken by the cloud (`preemption_notices`), faulty (`failure_attribution`) or slow (`stragglers`).
Begin with `heartbeat_handler`, then `reconciler`.
"""
