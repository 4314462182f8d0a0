"""Moves replicas off thinly used machines, one at a time, so that these can be given back."""

from __future__ import annotations

import logging

from .. import consolidate, wire
from ..ledger.book import Job, Placement
from .jobs import Jobs
from .orders import Orders
from .planner import Planner
from .term import Duty, Term
from .tracker import Tracker

log = logging.getLogger(__name__)


class Emptier(Duty):
    """Owns the emptying under way, one machine at a time."""

    def __init__(self, term: Term, jobs: Jobs, tracker: Tracker, orders: Orders, planner: Planner) -> None:
        super().__init__(term)
        self.jobs, self.tracker, self.orders, self.planner = jobs, tracker, orders, planner
        self._moving: str | None = None
        self._moving_since = 0.0

    def consolidate(self, now: float) -> None:
        """Begins to empty a machine, when all is calm; `move_on` moves its replicas one at a time."""
        usable = self.tracker.usable()
        calm = (
            self._moving is None
            and now - self.term.began > self.policy.settle
            and not any(
                job.waiting and wire.RANKS[job.spec.rank] < wire.RANKS["standard"] for job in self.jobs.queue()
            )
            and all(
                now - machine.heard_at < self.policy.machine_suspect
                for machine in self.fleet.machines.values() if not machine.booting
            )
        )
        if not calm:
            return

        def settled(placed: Placement) -> bool:
            # Who has just begun is left in peace: its start counts for what users see.
            return placed.state == wire.RUNNING and placed.ran_at is not None and (
                now - placed.ran_at > self.policy.move_after)  # fmt: skip

        machine = consolidate.pick(
            usable, self.term.kinds, self.jobs.needs, self.policy.sample, self.rng, self._zones_without, settled,
            not any(job.waiting for job in self.jobs.live.values()),
        )  # fmt: skip
        if machine is None:
            return
        if self.planner.spare(machine, self.planner.demands(now), now):
            log.info("event=empty term=%d machine=%s type=%s zone=%s replicas=%d", self.term.number, machine.name,
                     machine.kind, machine.zone, len(machine.placements))  # fmt: skip
            self._moving = machine.name
            self._moving_since = now
            machine.draining = True

    def _zones_without(self, job: Job, placed: Placement) -> dict[str, bool]:
        if job.spec.one_zone:
            return {zone: zone == placed.zone for zone in self.fleet.zones}
        if not job.spec.spread:
            return {}
        return {
            zone: job.zone_count(zone) - (zone == placed.zone) < job.spec.zone_share for zone in self.fleet.zones
        }  # fmt: skip

    def move_on(self, now: float) -> None:
        if self._moving is None:
            return
        machine = self.fleet.machines.get(self._moving)
        if machine is None or machine.releasing or not machine.placements:
            self._moving = None
            return
        stuck = now - self._moving_since > self.policy.move_patience
        if stuck and machine.notice_until is None:
            log.info("event=empty_given_up term=%d machine=%s", self.term.number, machine.name)
            self._moving = None
            machine.draining = False
            return
        waiting = any(job.waiting and job.spec.kind == wire.SERVICE for job in self.jobs.live.values())
        stopping = any(placed.stopping_at is not None for placed in machine.placements.values())
        if not waiting and not stopping:
            for placed in machine.placements.values():
                if placed.seen and placed.job.spec.kind == wire.SERVICE:
                    self.orders.stop(placed, 0.0)
                    break
