"""Heartbeats of machines: which are fresh, which prove something, and what they change."""

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

    Only one made under the present fencing token proves what runs on a machine. An older one shows
    that the machine is alive; the answer to it carries the present token.
    """

    def __init__(
        self, term: Term, reconciler: Reconciler, preemption_notices: PreemptionNotices
    ) -> None:
        """Both hear of heartbeats that count as proof."""
        super().__init__(term)
        self._reconciler = reconciler
        self._preemption_notices = preemption_notices
        self._suspect_after_s = self.policy.machine_suspect

    def handle_heartbeat(self, server: str, heartbeat: wire.Heartbeat) -> None:
        """A heartbeat that the controller `server` received, or a machine's reply to commands."""
        term, fleet = self.term, self.fleet
        if not term.active or heartbeat.machine in fleet.removed_machines:
            return
        machine = fleet.machines.get(heartbeat.machine)
        if machine is None:
            machine = self._discover_machine(heartbeat)
        if not machine.machine_type:
            machine.machine_type = heartbeat.machine_type
            machine.spot = heartbeat.spot
        if not machine.is_newer(heartbeat.incarnation, heartbeat.sequence_number):
            return
        if heartbeat.fencing_token == term.number:
            self._record_contact(machine, server, heartbeat)
            self._accept_status(machine, heartbeat)
        elif heartbeat.recency > machine.newest_foreign_heartbeat:
            # A copy that comes after newer ones shows nothing, not even that the machine is alive.
            machine.newest_foreign_heartbeat = heartbeat.recency
            self._record_contact(machine, server, heartbeat)
            machine.incarnation = max(machine.incarnation, heartbeat.incarnation)

    def handle_liveness(self, server: str, names: list[str]) -> None:
        """These machines reported to the controller `server`: they are alive, no more is proven."""
        if not self.term.active:
            return
        for name in names:
            machine = self.fleet.machines.get(name)
            if machine is None or machine.is_booting or machine.is_terminating:
                continue
            self._end_silence(machine)
            machine.failed_probes = 0
            if machine.shard_owner is None:
                machine.shard_owner = server

    def _discover_machine(self, heartbeat: wire.Heartbeat) -> Machine:
        """A machine that neither this leader provisioned nor the cloud has listed yet."""
        log.info(
            "event=unknown_machine_reported term=%d machine=%s", self.term.number, heartbeat.machine
        )
        return self.fleet.add_machine(
            heartbeat.machine, heartbeat.machine_type, heartbeat.zone, spot=heartbeat.spot
        )

    def _record_contact(self, machine: Machine, server: str, heartbeat: wire.Heartbeat) -> None:
        """The machine is alive, and `server` owns its shard."""
        if machine.is_booting:
            self._on_booted(machine)
        machine.address = heartbeat.address
        machine.shard_owner = server
        # Once reconciled, a machine reports under the present token: an older heartbeat is late.
        if not machine.is_reconciled or heartbeat.fencing_token >= self.term.number:
            self._end_silence(machine)
        machine.failed_probes = 0

    def _end_silence(self, machine: Machine) -> None:
        now = self.runtime.now()
        silent_s = now - machine.last_heartbeat_at
        if silent_s >= self._suspect_after_s:
            machine.mark_changed()
        if silent_s > 0:
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
        """What the machine reports under the present token is the truth about it."""
        if heartbeat.incarnation > machine.incarnation:
            machine.forget_images()
        machine.incarnation = heartbeat.incarnation
        machine.sequence_number = heartbeat.sequence_number
        if not machine.is_reconciled:
            machine.is_reconciled = True
            machine.mark_changed()
            self.term.request_pass()
        if heartbeat.preemption_notice_s is not None and machine.preempted_by_cloud_at is None:
            self._preemption_notices.handle_notice(machine, heartbeat.preemption_notice_s)
        if heartbeat.tasks != machine.converged_tasks:
            self._reconciler.reconcile(machine, heartbeat.tasks)
