"""Forecasts demand: pending tasks by shape, and tasks that are expected to arrive."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from ...planning import placement, provisioning
from ...planning.best_effort import find_expensive_types
from ...planning.packing import Demand
from ..gang_scheduling.gang_zones import GangZones
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ledger.job import Job
    from ...planning.fleet import Pool
    from ...protocol.shape import Shape
    from ..jobs import JobRegistry

UNLIMITED_CAPACITY = 1e9
"""Number of cores or GPUs, in effect infinite, that a team without a hard limit may still use."""


class DemandForecast(TermActor):
    """Forecasts demand from pending tasks, running tasks and the arrivals of each job class."""

    def __init__(
        self, term: Term, jobs: JobRegistry, is_in_backoff: Callable[[Pool], bool]
    ) -> None:
        """`is_in_backoff`: returns whether a pool is in back-off after a recent refusal."""
        super().__init__(term)
        self._jobs = jobs
        self._gang_zones = GangZones(term, jobs, is_in_backoff)
        self._classes_with_headroom = {
            objective.job_class
            for objective in self.settings.objectives
            if objective.kind == "wait"
            and objective.job_class is not None
            and objective.within < self.settings.lease_s
        }
        """Job classes whose wait objective is too short for a new machine to meet.

        Capacity for their next job must exist before the job arrives.
        """
        self._running_by_class: Counter[str] = Counter()
        """Number of placed tasks by job class, as of the last forecast."""

    def forecast_demands(self, now: float) -> list[Demand]:
        """Returns the current demand by shape, in the order in which it would be placed."""
        self._count_running()
        by_shape: dict[Shape, Demand] = {}
        self._add_pending(by_shape)
        self._add_running_best_effort(by_shape)
        self._add_expected_arrivals(by_shape, now)
        self._gang_zones.assign_zones(by_shape.values(), now)
        demands = provisioning.merge_demands(by_shape.values())
        self._set_expensive_types(demands)
        self._count_usable_machines(demands)
        return sorted(demands, key=lambda demand: (demand.shape.rank, -demand.shape.gpus))

    def project_demand(self, demand: Demand, step_s: float, now: float) -> Demand:
        """Returns the demand as projected `step_s` seconds from now."""
        count = demand.count
        limits = demand.max_tasks_by_zone
        limits = dict(limits) if limits is not None else None
        if not (demand.shape.is_service or demand.shape.is_gang):
            # By then the machines that run such tasks now will have completed part of the queue.
            # (A gang needs capacity for all its tasks at once.)
            running = self._running_by_class[demand.shape.job_class]
            count = max(0.0, count - running * step_s / max(demand.needed_until_s, 1.0))
        if demand.represents_job_class:
            expected = self._estimate_arrivals(demand, step_s, now)
            count += expected
            if limits is not None:
                limits = {zone: limit + math.ceil(expected / 2) for zone, limit in limits.items()}
        return replace(
            demand,
            count=count,
            needed_until_s=step_s + demand.needed_until_s,
            max_tasks_by_zone=limits,
        )

    def _estimate_arrivals(self, demand: Demand, step_s: float, now: float) -> float:
        """Returns how many tasks will have arrived and still be unfinished in `step_s` seconds.

        Counts all tasks of the demand's job class.
        """
        arrivals = self._jobs.arrivals
        job_class = demand.shape.job_class
        # Uses the average run time of the class: with the last job's run time, one long job made
        # the autoscaler provision for a hundred machines' work.
        run_s = arrivals.mean_run_s(job_class, now) or demand.needed_until_s
        expected = arrivals.tasks_per_s(job_class, now) * min(step_s, run_s)
        if job_class in self._classes_with_headroom:
            # Headroom for the next job, and for tasks that the loss of a few machines would
            # displace.
            expected += arrivals.max_tasks_per_job(job_class, now)
            expected += math.ceil(self.policy.slack * self._running_by_class[job_class])
        return expected

    # Demand by shape

    def _count_running(self) -> None:
        self._running_by_class = Counter()
        for job in self._jobs.live_jobs.values():
            self._running_by_class[job.spec.job_class] += len(job.placements)

    def _add_pending(self, by_shape: dict[Shape, Demand]) -> None:
        """Adds pending tasks, up to the hard limits of their teams."""
        headroom: dict[str, tuple[float, float]] = {}
        for entry in self._jobs.queue.get_ordered_jobs():
            job = entry.job
            if not job.pending_count or job.number in self._jobs.suspect_jobs:
                continue
            count = self._take_team_headroom(job, headroom)
            if count is None:
                continue
            demand = self._get_or_add_demand(by_shape, job)
            demand.add_tasks(count, self._jobs.estimate_run_s(job.spec))
            if job.spec.spread:
                max_tasks_per_zone = job.spec.max_tasks_per_zone
                _add_zone_limits(
                    demand,
                    {
                        zone: max(0, max_tasks_per_zone - job.placements_in_zone(zone))
                        for zone in self.settings.zones
                    },
                )

    def _take_team_headroom(self, job: Job, headroom: dict[str, tuple[float, float]]) -> int | None:
        """Returns how many of the job's pending tasks its team may still run.

        Subtracts their resources from `headroom` (cores and GPUs by team). Returns None if the team
        is unknown.
        """
        spec = job.spec
        team = self.term.limits.find_team(spec.team)
        if team is None:
            return None
        if spec.team not in headroom:
            reserved_cores, reserved_gpus = self.term.compute_team_usage(spec.team)
            headroom[spec.team] = (
                team.cores_max - reserved_cores if team.cores_max else UNLIMITED_CAPACITY,
                team.gpus_max - reserved_gpus if team.gpus_max else UNLIMITED_CAPACITY,
            )
        cores, gpus = headroom[spec.team]
        count = job.pending_count
        if spec.cores:
            count = min(count, int(cores / spec.cores + placement.RESOURCE_TOLERANCE))
        if spec.gpus:
            count = min(count, int(gpus / spec.gpus + placement.RESOURCE_TOLERANCE))
        count = max(0, count)
        headroom[spec.team] = cores - count * spec.cores, gpus - count * spec.gpus
        return count

    def _add_running_best_effort(self, by_shape: dict[Shape, Demand]) -> None:
        """Adds running best-effort tasks as if they were pending.

        The capacity they use counts as free, so that they are given what all other demand leaves
        free, or cheap machines.
        """
        for job in self._jobs.live_jobs.values():
            if not job.placements or job.is_terminal or not job.spec.is_best_effort:
                continue
            demand = self._get_or_add_demand(by_shape, job)
            demand.add_tasks(len(job.placements), self._jobs.estimate_run_s(job.spec))
            if job.spec.spread:
                zones = self.settings.zones
                _add_zone_limits(demand, {zone: job.placements_in_zone(zone) for zone in zones})

    def _add_expected_arrivals(self, by_shape: dict[Shape, Demand], now: float) -> None:
        """Adds a demand for each shape without pending tasks whose job class expects arrivals."""
        arrivals = self._jobs.arrivals
        for shape, spec in self._jobs.shapes.typical_shapes():
            job_class = shape.job_class
            is_expected = (
                arrivals.tasks_per_s(job_class, now) > 0 or job_class in self._classes_with_headroom
            )
            if shape in by_shape or not is_expected:
                continue
            run_s = arrivals.mean_run_s(job_class, now) or self._jobs.estimate_run_s(spec)
            demand = Demand(shape, 0.0, run_s, represents_job_class=True)
            by_shape[shape] = demand
            if spec.spread:
                demand.max_tasks_by_zone = dict.fromkeys(self.settings.zones, 0)

    def _get_or_add_demand(self, by_shape: dict[Shape, Demand], job: Job) -> Demand:
        """Returns the demand of the job's shape; adds it to `by_shape` if it is missing."""
        shape = job.shape
        demand = by_shape.get(shape)
        if demand is None:
            demand = by_shape[shape] = Demand(
                shape,
                0.0,
                self._jobs.estimate_run_s(job.spec),
                represents_job_class=self._jobs.shapes.is_typical(shape),
            )
        return demand

    # Machines that demands may use

    def _set_expensive_types(self, demands: list[Demand]) -> None:
        for demand in demands:
            if demand.shape.is_best_effort:
                demand.expensive_types = find_expensive_types(
                    demand.shape,
                    self.term.machine_types,
                    self._jobs.gpu_reservations,
                    self.policy.best_effort_price,
                )

    def _count_usable_machines(self, demands: list[Demand]) -> None:
        """Sets how many machines in each zone a demand may use."""
        machine_types = self.term.machine_types
        pools = Counter(
            machine.pool
            for machine in self.fleet.machines.values()
            if machine.machine_type in machine_types
        )
        for demand in demands:
            machines_by_zone = demand.machines_by_zone
            for (machine_type, zone, spot), count in pools.items():
                if placement.may_use_machine_type(
                    demand.shape, machine_types[machine_type], zone, spot
                ):
                    machines_by_zone[zone] = machines_by_zone.get(zone, 0) + count


def _add_zone_limits(demand: Demand, limits: dict[str, int]) -> None:
    total = demand.max_tasks_by_zone = demand.max_tasks_by_zone or {}
    for zone, count in limits.items():
        total[zone] = total.get(zone, 0) + count
