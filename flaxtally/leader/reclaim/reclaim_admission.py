"""Whether a reclaim may start: how long the demand has waited, and how many stops are allowed."""

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
"""Tasks that reclaims may always stop in a minute, however few are placed."""
BOOT_TIME_FACTOR = 1.5
"""Times the usual boot time: a machine that must be up in time for a demand."""


class PoolAvailability(Protocol):
    """Tells which instance pools are not worth asking now."""

    def is_in_backoff(self, pool: Pool) -> bool:
        """Whether the pool refused a short while ago."""


class ReclaimAdmission(TermActor):
    """Owns the demand that waits for lent capacity, and the rate of stops by reclaims."""

    def __init__(
        self,
        term: Term,
        jobs: JobRegistry,
        open_reclaims: OpenReclaims,
        pools: PoolAvailability,
        feature: LendingFeature | None,
    ) -> None:
        """`feature`: None where lending is not configured, which admits no reclaim."""
        super().__init__(term)
        self._jobs = jobs
        self._open_reclaims = open_reclaims
        self._pools = pools
        self._feature = feature
        self._waiting_since: dict[int, float] = {}
        """Jobs that are entitled to capacity and found none, and since when."""
        self._stop_times: deque[float] = deque()
        """When reclaims stopped tasks, in the last minute."""
        self._reclaimed_at: dict[tuple[int, int], float] = {}
        """Tasks that reclaims stopped, and when, for as long as a checkpoint interval."""

    # Demand

    def record_demand(self, job: Job) -> None:
        """The job is entitled to capacity and found none: from now on the recall time runs."""
        self._waiting_since.setdefault(job.number, self.runtime.now())

    def has_unserved_demand(self) -> bool:
        """Whether a job that is entitled to capacity has no reclaim for some pending task."""
        live = self._jobs.live_jobs
        return any(
            not self._open_reclaims.is_served(live[number])
            for number in self._waiting_since
            if number in live
        )

    def compute_time_left_s(self, job: Job) -> float:
        """How much of the recall time is left, which runs from now on at the latest."""
        now = self.runtime.now()
        return self.policy.recall - (now - self._waiting_since.setdefault(job.number, now))

    def may_start(self, job: Job) -> bool:
        """Whether capacity is to be reclaimed for the job now.

        Not while a machine can be provisioned that is up in time and costs no more than the
        autoscaler pays: that takes nothing from anybody.
        """
        return not self._can_provision(job.spec, self.compute_time_left_s(job))

    def _can_provision(self, spec: wire.Spec, within_s: float) -> bool:
        machine_types = self.term.machine_types
        expensive = find_expensive_types(
            spec, machine_types, self._jobs.gpu_reservations, self.policy.best_effort_price
        )
        return any(
            placement.allowed(spec, machine_type, zone, is_spot)
            and (machine_type.name, is_spot) not in expensive
            and not self._pools.is_in_backoff(Pool(machine_type.name, zone, is_spot))
            for machine_type in machine_types.values()
            if machine_type.boot_s * BOOT_TIME_FACTOR + self.policy.plan_step <= within_s
            for zone in machine_type.zones
            for is_spot in (False, True)
        )

    # Stops

    def allows_stops(self, victims: list[Placement]) -> bool:
        """Whether reclaims may stop these tasks, too, within this minute."""
        now = self.runtime.now()
        while self._stop_times and now - self._stop_times[0] > MINUTE_S:
            self._stop_times.popleft()
        if self._feature is None:
            return False
        placed_count = sum(len(job.placements) for job in self._jobs.live_jobs.values())
        max_stops = max(MIN_STOPS_PER_MINUTE, self._feature.stops_per_minute * placed_count)
        added = sum(not self._open_reclaims.is_leaving(victim) for victim in victims)
        return len(self._stop_times) + self._open_reclaims.chosen_count + added <= max_stops

    def record_stop(self, placed: Placement) -> None:
        """A reclaim stops the task now."""
        now = self.runtime.now()
        self._stop_times.append(now)
        self._reclaimed_at[placed.job.number, placed.task] = now

    def was_reclaimed(self, placed: Placement) -> bool:
        """Whether a reclaim stopped the task within its checkpoint interval."""
        stopped_at = self._reclaimed_at.get((placed.job.number, placed.task), float("-inf"))
        return self.runtime.now() - stopped_at < placed.job.spec.checkpoint_interval_s

    def expire(self) -> None:
        """Forgets jobs that have no pending task, and stops before the last checkpoint."""
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
