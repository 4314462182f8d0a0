"""Handles the heartbeats of machines: decides which are new and which are proof of what runs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...planning.fleet import Machine
    from ...protocol import wire
    from .preemption_notices import PreemptionNotices
    from .reconciler import Reconciler

log = logging.getLogger(__name__)


class HeartbeatHandler(TermActor):
    """Accepts heartbeats in the order in which their machines made them.

    Only a heartbeat made under one of the term's fencing tokens proves what runs on a machine. One
    made under an older token shows that the machine is alive; the reply to it carries the current
    token.
    """

    def __init__(
        self, term: Term, reconciler: Reconciler, preemption_notices: PreemptionNotices
    ) -> None:
        """Creates a handler that passes heartbeats that count as proof on to both."""
        super().__init__(term)
        self._reconciler = reconciler
        self._preemption_notices = preemption_notices
        self._suspect_after_s = self.policy.machine_suspect

    def handle_heartbeat(self, controller: str, heartbeat: wire.Heartbeat) -> None:
        """Processes a heartbeat that `controller` received, or a machine's reply to commands."""
        term, fleet = self.term, self.fleet
        if not term.active or heartbeat.machine in fleet.removed_machines:
            return
        if term.is_later_token(heartbeat.fencing_token):
            term.on_higher_token(heartbeat.machine, heartbeat.fencing_token)
        machine = fleet.machines.get(heartbeat.machine)
        if machine is None:
            machine = self._discover_machine(heartbeat)
        if not machine.machine_type:
            machine.machine_type = heartbeat.machine_type
            machine.spot = heartbeat.spot
        if not machine.is_newer(heartbeat.incarnation, heartbeat.sequence_number):
            return
        if term.is_own_token(heartbeat.fencing_token):
            self._record_contact(machine, controller, heartbeat)
            self._accept_status(machine, heartbeat)
        elif heartbeat.recency > machine.newest_foreign_heartbeat:
            # A copy that arrives after newer ones proves nothing, not even that the machine is
            # alive.
            machine.newest_foreign_heartbeat = heartbeat.recency
            self._record_contact(machine, controller, heartbeat)
            machine.incarnation = max(machine.incarnation, heartbeat.incarnation)

    def handle_liveness(self, controller: str, names: list[str]) -> None:
        """Records that these machines reported to `controller`; it only proves they are alive."""
        if not self.term.active:
            return
        for name in names:
            machine = self.fleet.machines.get(name)
            if machine is None or machine.is_booting or machine.is_terminating:
                continue
            self._record_liveness(machine)
            machine.failed_probes = 0
            if machine.shard_owner is None:
                machine.shard_owner = controller

    def _discover_machine(self, heartbeat: wire.Heartbeat) -> Machine:
        """Adds a machine that this leader did not provision and the cloud has not listed yet."""
        log.info(
            "event=unknown_machine_reported term=%d machine=%s", self.term.number, heartbeat.machine
        )
        return self.fleet.add_machine(
            heartbeat.machine, heartbeat.machine_type, heartbeat.zone, spot=heartbeat.spot
        )

    def _record_contact(self, machine: Machine, controller: str, heartbeat: wire.Heartbeat) -> None:
        """Records that the machine is alive, and that `controller` owns its shard."""
        if machine.is_booting:
            self._on_booted(machine)
        machine.address = heartbeat.address
        machine.shard_owner = controller
        # A reconciled machine reports under a token of the term: one under an older token is late.
        if not machine.is_reconciled or heartbeat.fencing_token >= self.term.first_number:
            self._record_liveness(machine)
        machine.failed_probes = 0

    def _record_liveness(self, machine: Machine) -> None:
        now = self.runtime.now()
        heartbeat_age_s = now - machine.last_heartbeat_at
        if heartbeat_age_s >= self._suspect_after_s:
            machine.mark_changed()
        if heartbeat_age_s > 0:
            machine.last_heartbeat_at = now

    def _on_booted(self, machine: Machine) -> None:
        now = self.runtime.now()
        machine.is_booting = False
        machine.idle_since = now
        log.info(
            "event=machine_up term=%d machine=%s type=%s zone=%s spot=%s after=%.1f",
            self.term.number,
            machine.name,
            machine.machine_type,
            machine.zone,
            machine.spot,
            now - machine.provisioned_at,
        )
        self.term.request_pass()

    def _accept_status(self, machine: Machine, heartbeat: wire.Heartbeat) -> None:
        """Takes over the status of a machine that reports under one of the term's tokens."""
        if heartbeat.incarnation > machine.incarnation:
            machine.forget_images()
        machine.incarnation = heartbeat.incarnation
        machine.sequence_number = heartbeat.sequence_number
        machine.fencing_token = heartbeat.fencing_token
        if not machine.is_reconciled:
            machine.is_reconciled = True
            machine.mark_changed()
            self.term.request_pass()
        if heartbeat.preemption_notice_s is not None and machine.preempted_by_cloud_at is None:
            self._preemption_notices.handle_notice(machine, heartbeat.preemption_notice_s)
        if heartbeat.tasks != machine.converged_tasks:
            self._reconciler.reconcile(machine, heartbeat.tasks)
