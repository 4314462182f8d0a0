"""What will need room: waiting tasks by shape, and what is expected to arrive."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from ...planning import placement, provisioning
from ...planning.best_effort import dear_types
from ...planning.packing import Demand
from ..gang_scheduling.gang_zones import GangZones
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.job import Job
    from ...planning.fleet import Pool
    from ...protocol.shape import Shape
    from ..jobs import JobRegistry

UNLIMITED = 1e9
"""Cores or GPUs that a team without a limit may still take."""


class DemandForecast(TermActor):
    """Owns what the plan knows of each lane's running tasks and reserves."""

    def __init__(self, term: Term, jobs: JobRegistry, is_resting: Callable[[Pool], bool]) -> None:
        """`is_resting`: whether a pool refused a short while ago."""
        super().__init__(term)
        self.jobs = jobs
        self._gang_zones = GangZones(term, jobs, is_resting)
        # Lanes whose wait aim no new machine can meet: room for their next job must be there before
        # it.
        self._reserve = {
            aim.job_class
            for aim in self.settings.objectives
            if aim.kind == "wait"
            and aim.job_class is not None
            and aim.within < self.settings.lease_s
        }
        self._running: Counter[str] = Counter()
        """Placed tasks by lane, as of the last forecast."""

    def demands(self, now: float) -> list[Demand]:
        """Waiting tasks by shape, in the order in which they would be placed."""
        self._running = Counter()
        for job in self.jobs.live_jobs.values():
            self._running[job.spec.job_class] += len(job.placements)
        by_shape: dict[Shape, Demand] = {}
        self._add_waiting(by_shape)
        for job in self.jobs.live_jobs.values():
            if job.placements and not job.is_terminal and job.spec.is_best_effort:
                self._add_running(by_shape, job)
        self._add_expected(by_shape, now)
        self._gang_zones.aim(by_shape.values(), now)
        demands = provisioning.merged(by_shape.values())
        self._note_dear_types(demands)
        self._count_machines(demands)
        return sorted(demands, key=lambda demand: (demand.shape.rank, -demand.shape.gpus))

    def at(self, demand: Demand, at: float, now: float) -> Demand:
        """The demand in `at` seconds."""
        count, job_class = demand.count, demand.shape.job_class
        caps = dict(demand.caps) if demand.caps is not None else None
        if not (demand.shape.is_service or demand.shape.is_gang):
            # By then the machines that run such tasks now will have worked off a part of the queue.
            # (A gang needs the room of all its tasks at once.)
            count = max(0.0, count - self._running[job_class] * at / max(demand.until, 1.0))
        if demand.typical:
            more = self._expected(demand, at, now)
            count += more
            if caps is not None:
                caps = {zone: cap + math.ceil(more / 2) for zone, cap in caps.items()}
        return replace(demand, count=count, until=at + demand.until, caps=caps)

    def _expected(self, demand: Demand, at: float, now: float) -> float:
        """How many tasks of the lane will have come and be there in `at` seconds."""
        arrivals, job_class = self.jobs.arrivals, demand.shape.job_class
        # Not by the last job's own length: one long job made the plan rent for a hundred machines'
        # work.
        length = arrivals.length(job_class, now) or demand.until
        more = arrivals.rate(job_class, now) * min(at, length)
        if job_class in self._reserve:
            # Room for the next job, and for what the loss of a few machines would leave without.
            more += arrivals.largest(job_class, now)
            more += math.ceil(self.policy.slack * self._running[job_class])
        return more

    def _add_waiting(self, by_shape: dict[Shape, Demand]) -> None:
        headroom: dict[str, tuple[float, float]] = {}
        for entry in self.jobs.queue.ordered_jobs():
            job = entry.job
            if not job.pending_count or job.number in self.jobs.suspects:
                continue
            count = self._within_limit(job, headroom)
            if count is None:
                continue
            demand = self._demand_of(by_shape, job)
            demand.add(count, self.jobs.expected_run_s(job.spec))
            if job.spec.spread:
                self._add_caps(
                    demand,
                    {
                        zone: max(0, job.spec.zone_share - job.placements_in_zone(zone))
                        for zone in self.settings.zones
                    },
                )

    def _within_limit(self, job: Job, headroom: dict[str, tuple[float, float]]) -> int | None:
        """How many of the job's waiting tasks its team may still run; takes them off `headroom`.

        None: the team is not known.
        """
        spec = job.spec
        team = self.term.limits.find_team(spec.team)
        if team is None:
            return None
        if spec.team not in headroom:
            cores, gpus = self.term.team_usage(spec.team)
            headroom[spec.team] = (
                team.cores_max - cores if team.cores_max else UNLIMITED,
                team.gpus_max - gpus if team.gpus_max else UNLIMITED,
            )
        cores, gpus = headroom[spec.team]
        count = job.pending_count
        if spec.cores:
            count = min(count, int(cores / spec.cores + placement.SLACK))
        if spec.gpus:
            count = min(count, int(gpus / spec.gpus + placement.SLACK))
        count = max(0, count)
        headroom[spec.team] = cores - count * spec.cores, gpus - count * spec.gpus
        return count

    def _add_running(self, by_shape: dict[Shape, Demand], job: Job) -> None:
        """Plans best-effort tasks that run like those that wait.

        Their room counts as free, so that they get what all other demand leaves, or cheap machines.
        """
        demand = self._demand_of(by_shape, job)
        demand.add(len(job.placements), self.jobs.expected_run_s(job.spec))
        if job.spec.spread:
            zones = self.settings.zones
            self._add_caps(demand, {zone: job.placements_in_zone(zone) for zone in zones})

    def _add_expected(self, by_shape: dict[Shape, Demand], now: float) -> None:
        """Shapes of which nothing waits, but more is expected."""
        arrivals = self.jobs.arrivals
        for shape, spec in self.jobs.shapes.typical_shapes():
            expected = arrivals.rate(shape.job_class, now) > 0 or shape.job_class in self._reserve
            if shape in by_shape or not expected:
                continue
            length = arrivals.length(shape.job_class, now) or self.jobs.expected_run_s(spec)
            demand = by_shape[shape] = Demand(shape, 0.0, length, typical=True)
            if spec.spread:
                demand.caps = dict.fromkeys(self.settings.zones, 0)

    def _demand_of(self, by_shape: dict[Shape, Demand], job: Job) -> Demand:
        """The demand that the job's tasks belong to."""
        shape = job.shape
        demand = by_shape.get(shape)
        if demand is None:
            length = self.jobs.expected_run_s(job.spec)
            typical = self.jobs.shapes.is_typical(shape)
            demand = by_shape[shape] = Demand(shape, 0.0, length, typical=typical)
        return demand

    @staticmethod
    def _add_caps(demand: Demand, more: dict[str, int]) -> None:
        caps = demand.caps = demand.caps or {}
        for zone, count in more.items():
            caps[zone] = caps.get(zone, 0) + count

    def _note_dear_types(self, demands: list[Demand]) -> None:
        kinds, needs, most = (
            self.term.machine_types,
            self.jobs.gpu_reservations,
            self.policy.best_effort_price,
        )
        for demand in demands:
            if demand.shape.is_best_effort:
                demand.dear = dear_types(demand.shape, kinds, needs, most)

    def _count_machines(self, demands: list[Demand]) -> None:
        """Counts the machines that each demand may use, by zone."""
        kinds = self.term.machine_types
        pools = Counter(
            machine.pool
            for machine in self.fleet.machines.values()
            if machine.machine_type in kinds
        )
        for demand in demands:
            for (kind, zone, spot), count in pools.items():
                if placement.allowed(demand.shape, kinds[kind], zone, spot):
                    demand.zones[zone] = demand.zones.get(zone, 0) + count
