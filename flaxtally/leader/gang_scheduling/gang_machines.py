"""Chooses machines for a gang, within the limits of its team and its wait objective."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from ...gangs.gang_capacity import (
    GangMachines,
    GangMachineSearch,
    MachineFilter,
    choose_machines_for_gang,
    choose_machines_for_missing,
)
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...planning.fleet import Machine
    from ...planning.machine_index import MachineIndex
    from ..jobs import JobRegistry
    from .gang_attempts import GangAttempts
    from .gang_orphans import GangOrphans

MAX_FETCH_FRACTION = 0.8
"""Maximum image fetch time, as a fraction of `gang_wait_s` and of the wait objective.

A gang whose slowest image fetch takes longer would start too late.
"""


class GangMachineChooser(TermActor):
    """Chooses machines for all tasks of a gang, or for its lost tasks."""

    def __init__(
        self, term: Term, jobs: JobRegistry, attempts: GangAttempts, orphans: GangOrphans
    ) -> None:
        """`attempts` and `orphans`: tell which machines an attempt gets no replacement on."""
        super().__init__(term)
        self._jobs = jobs
        self._attempts = attempts
        self._orphans = orphans
        self._max_wait_s_by_class = {
            objective.job_class: objective.within
            for objective in self.settings.objectives
            if objective.kind == "wait" and objective.job_class is not None and objective.within
        }
        self._max_fetch_s = MAX_FETCH_FRACTION * attempts.timeouts.wait_s

    def make_search(
        self,
        job: Job,
        index: MachineIndex,
        machine_filter: MachineFilter | None,
        *,
        reserve_for_gpus: bool,
    ) -> GangMachineSearch:
        """Returns the parameters of a search for machines for the gang.

        `reserve_for_gpus`: what GPU tasks need besides their GPUs stays reserved for them.
        """
        return GangMachineSearch(
            job.spec,
            job.number,
            index,
            self._jobs.gpu_reservations if reserve_for_gpus else None,
            self.policy.sample,
            machine_filter,
        )

    def choose_machines(
        self, job: Job, task_count: int, search: GangMachineSearch
    ) -> GangMachines | None:
        """Returns machines for the missing tasks of the gang, or None if not all can be placed."""
        if not self._jobs.is_within_limit(job.spec, task_count):
            return None
        if not job.placements:
            return self._choose_for_all(search)
        return self._choose_for_missing(
            job, task_count, search, self._orphans.find_excluded_machines(job)
        )

    def will_have_machines(self, job: Job, task_count: int, search: GangMachineSearch) -> bool:
        """Whether the missing tasks fit once machines have forgotten exited tasks of the gang."""
        forgetting = self._orphans.find_forgetting_machines(job)
        if not forgetting or not self._jobs.is_within_limit(job.spec, task_count):
            return False
        still_excluded = self._orphans.find_excluded_machines(job) - forgetting
        return self._choose_for_missing(job, task_count, search, still_excluded) is not None

    def _choose_for_missing(
        self, job: Job, task_count: int, search: GangMachineSearch, excluded_machines: set[str]
    ) -> GangMachines | None:
        """Returns machines for lost tasks, none of which had a task of the attempt before."""
        attempt = self._attempts.get_or_create_attempt(job)
        excluded_names = excluded_machines | attempt.machines_with_lost_tasks
        machine_filter = search.machine_filter

        def is_usable(machine: Machine) -> bool:
            return machine.name not in excluded_names and (
                machine_filter is None or machine_filter(machine)
            )

        return choose_machines_for_missing(
            replace(search, machine_filter=is_usable),
            task_count,
            self.fleet.zones,
            job.zone_counts,
            self._max_fetch_s,
        )

    def _choose_for_all(self, search: GangMachineSearch) -> GangMachines | None:
        """Returns machines for all tasks, also GPU machines if images would arrive too late.

        The capacity reserved there for GPU tasks may be used if that makes the images available
        sooner, as a gang runs for a short time only.
        """
        choice = choose_machines_for_gang(search, self.fleet.zones, self._max_fetch_s)
        max_wait_s = self._max_wait_s_by_class.get(search.spec.job_class, math.inf)
        timely_fetch_s = MAX_FETCH_FRACTION * max_wait_s
        is_timely = choice is not None and choice.fetch_s <= timely_fetch_s
        if search.gpu_reservations is None or is_timely or timely_fetch_s == math.inf:
            return choice
        unreserved = replace(search, gpu_reservations=None)
        return choose_machines_for_gang(unreserved, self.fleet.zones, timely_fetch_s) or choice
