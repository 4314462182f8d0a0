"""Decides whether a reclaim may start: by the time left, other capacity, and the rate of stops."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

from ...planning import placement
from ...planning.best_effort import find_expensive_types
from ...planning.fleet import Pool
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...lending.feature import LendingFeature
    from ...protocol import wire
    from ..jobs import JobRegistry
    from .open_reclaims import OpenReclaims

MINUTE_S = 60.0
MIN_STOPS_PER_MINUTE = 16
"""Tasks that reclaims may stop per minute even if few are placed."""
BOOT_TIME_FACTOR = 1.5
"""Safety factor on the usual boot time of a machine that must be up in time for a demand."""


class PoolAvailability(Protocol):
    """Tells which instance pools are in back-off."""

    def is_in_backoff(self, pool: Pool) -> bool:
        """Whether the pool recently refused a request."""


class ReclaimAdmission(TermActor):
    """Owns the demand that waits for lent capacity, and limits the rate of stops by reclaims."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        open_reclaims: OpenReclaims,
        pools: PoolAvailability,
        feature: LendingFeature | None,
    ) -> None:
        """`feature`: None if lending is not configured; then no reclaim is admitted."""
        super().__init__(term)
        self._jobs = jobs
        self._open_reclaims = open_reclaims
        self._pools = pools
        self._feature = feature
        self._waiting_since: dict[int, float] = {}
        """The time since which a job that is entitled to capacity has found none, by job number."""
        self._stop_times: deque[float] = deque()
        """The times at which reclaims stopped tasks, within the last minute."""
        self._reclaimed_at: dict[tuple[int, int], float] = {}
        """When a reclaim stopped a task, by (job, task); kept for a checkpoint interval."""

    # Demand

    def record_demand(self, job: Job) -> None:
        """Sets the reclaim deadline of a job that is entitled to capacity and found none."""
        self._waiting_since.setdefault(job.number, self.runtime.now())

    def has_demand_without_reclaim(self) -> bool:
        """Whether a job that is entitled to capacity has no reclaim for some pending task."""
        live = self._jobs.live_jobs
        return any(
            not self._open_reclaims.has_reclaim_for_each_task(live[number])
            for number in self._waiting_since
            if number in live
        )

    def compute_time_left_s(self, job: Job) -> float:
        """Returns the time until the job's reclaim deadline, which is set now if it was not."""
        now = self.runtime.now()
        return self.policy.recall - (now - self._waiting_since.setdefault(job.number, now))

    def may_start(self, job: Job) -> bool:
        """Whether capacity should be reclaimed for the job now.

        It should not while a machine can be provisioned that is up in time and costs no more than
        the autoscaler pays: no team loses capacity by that.
        """
        return not self._can_provision(job.spec, self.compute_time_left_s(job))

    def _can_provision(self, spec: wire.Spec, within_s: float) -> bool:
        machine_types = self.term.machine_types
        expensive = find_expensive_types(
            spec, machine_types, self._jobs.gpu_reservations, self.policy.best_effort_price
        )
        return any(
            placement.may_use_machine_type(spec, machine_type, zone, is_spot)
            and (machine_type.name, is_spot) not in expensive
            and not self._pools.is_in_backoff(Pool(machine_type.name, zone, is_spot))
            for machine_type in machine_types.values()
            if machine_type.boot_s * BOOT_TIME_FACTOR + self.policy.plan_step <= within_s
            for zone in machine_type.zones
            for is_spot in (False, True)
        )

    # Stops

    def allows_stops(self, victims: list[Placement]) -> bool:
        """Whether the limit of stops per minute allows reclaims to stop these tasks too."""
        now = self.runtime.now()
        while self._stop_times and now - self._stop_times[0] > MINUTE_S:
            self._stop_times.popleft()
        if self._feature is None:
            return False
        placed_count = sum(len(job.placements) for job in self._jobs.live_jobs.values())
        max_stops = max(MIN_STOPS_PER_MINUTE, self._feature.stops_per_minute * placed_count)
        added_count = sum(not self._open_reclaims.will_stop(victim) for victim in victims)
        return len(self._stop_times) + self._open_reclaims.chosen_count + added_count <= max_stops

    def record_stop(self, placed: Placement) -> None:
        """Records that a reclaim stops the task now."""
        now = self.runtime.now()
        self._stop_times.append(now)
        self._reclaimed_at[placed.job.number, placed.task] = now

    def was_reclaimed(self, placed: Placement) -> bool:
        """Whether a reclaim stopped the task less than its checkpoint interval ago."""
        stopped_at = self._reclaimed_at.get((placed.job.number, placed.task), float("-inf"))
        return self.runtime.now() - stopped_at < placed.job.spec.checkpoint_interval_s

    def expire(self) -> None:
        """Drops jobs without pending tasks, and stops older than a checkpoint interval."""
        now = self.runtime.now()
        live = self._jobs.live_jobs
        self._waiting_since = {
            number: since
            for number, since in self._waiting_since.items()
            if (job := live.get(number)) is not None and job.pending_count
        }
        self._reclaimed_at = {
            (number, task): stopped_at
            for (number, task), stopped_at in self._reclaimed_at.items()
            if (job := live.get(number)) is not None
            and now - stopped_at < job.spec.checkpoint_interval_s
        }
