"""One pass over the waiting jobs: what can be placed is placed."""

from __future__ import annotations

from collections.abc import Callable, Collection, Hashable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from ...planning import placement
from ...planning.best_effort import find_expensive_types
from ...planning.choice import choose
from ...planning.fleet import Machine
from ...planning.machine_index import Fit, MachineIndex
from ...protocol import wire

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...policy import Policy
    from ..jobs import JobRegistry
    from ..term import Term
    from .pending_queue import PendingJob
    from .preemption import Preemption

MOST_PLACED = 400
"""Tasks a pass: one large array on an idle fleet must not hold up reports and users."""

Keep = Callable[[Machine], bool]


class Placer(Protocol):
    """What a pass needs of the scheduler."""

    jobs: JobRegistry
    preemption: Preemption
    policy: Policy
    term: Term

    def has_hint(self, job: Job) -> bool:
        """Whether it is said where the job's next task is to go."""

    def hinted(self, job: Job, shut: Collection[str], keep: Keep | None) -> Machine | None:
        """Where the job's next task is to go, if it can still go there."""

    def place(self, job: Job, machine: Machine) -> None:
        """Places the job's next task."""

    def keep_for(self, job: Job) -> Keep | None:
        """Which machines' room is not kept from the job; None: none is."""

    def place_gang(self, job: Job, index: MachineIndex, overdue: bool) -> int:
        """Places all that is due of a gang, or nothing; returns how many tasks.

        `overdue`: it takes any room, like others that have waited for long.
        """


class _Search(NamedTuple):
    """Whom a search speaks for: those who may use the same machines, and ask for no less."""

    like: Hashable
    overdue: bool
    """It has waited for long and takes any room: that of slow machines, and what is kept for GPU
    tasks.
    """


class SchedulingPass:
    """Places tasks in the queue's order. Within a pass room only shrinks.

    `grown`: the machines that have more room than in the last pass. Who found no room before
    (`full`) looks only there.
    """

    def __init__(
        self, scheduler: Placer, index: MachineIndex, grown: MachineIndex, now: float
    ) -> None:
        self._scheduler, self._now = scheduler, now
        self._jobs, self._preemption = scheduler.jobs, scheduler.preemption
        self._policy, self._term = scheduler.policy, scheduler.term
        self._index, self._grown = index, grown
        self._has_grown = len(grown) > 0
        self.unfit = placement.Exhausted()
        """Who found no room in this pass: their like needn't look."""
        self._worth: dict[int, Keep] = {}
        """By job, whether best-effort work may use a machine."""
        self._asked: set[Hashable] = set()
        """Shapes of batch work for which others were stopped in this pass."""
        self.placed = 0

    @property
    def is_full(self) -> bool:
        """Whether the pass has placed as many tasks as one may."""
        return self.placed >= MOST_PLACED

    def run(self, queue: list[PendingJob], full: placement.Exhausted) -> placement.Exhausted:
        """Places what it can; returns who is known to find no room from here on."""
        hopeless: set[Hashable] = set()
        backoff = self._jobs.backoff
        for _, job, alike in list(queue):
            if self.is_full:
                break
            kin = alike, self._jobs.excluded_zones(job)
            if kin in hopeless and not self._scheduler.has_hint(job):
                continue
            if not job.pending_count or backoff.get(job.number, 0.0) > self._now:
                continue
            if not self._place_tasks(job, full) and alike is not None:
                # As it is now: some of its tasks may have been placed.
                hopeless.add((alike, self._jobs.excluded_zones(job)))
        # Who did not look this time has not seen what grew.
        return self.unfit if self._has_grown else full

    def _place_tasks(self, job: Job, full: placement.Exhausted) -> bool:
        """Places the job's waiting tasks; False: there is no room for one, nor for its like."""
        spec = job.spec
        suspect = job.number in self._jobs.suspects
        if suspect and job.placements and spec.job_kind != wire.GANG:
            return True
        if spec.job_kind == wire.GANG:
            self.placed += self._scheduler.place_gang(job, self._index, self._is_overdue(job))
            return True
        keep = self._scheduler.keep_for(job)
        last: Machine | None = None
        while job.pending_count and not self.is_full:
            if not self._jobs.is_within_limit(spec):
                return False
            shut = self._jobs.excluded_zones(job)
            machine = self._scheduler.hinted(job, shut, keep)
            search = self._search(job, shut)
            if machine is None and last is not None and last.zone not in shut:
                machine = self._same_again(last, job, search, keep)
            if machine is None and not self.unfit.covers(search, spec):
                machine = self._choose(job, shut, search, full, keep)
            if machine is None:
                if suspect:
                    # Nobody is stopped for what will likely fail.
                    return True
                self._preempt(job, shut, search)
                return False
            self._scheduler.place(job, machine)
            self.placed += 1
            last = machine
            if suspect:
                return True
        return True

    def _same_again(
        self, machine: Machine, job: Job, search: _Search, keep: Keep | None
    ) -> Machine | None:
        """The machine of the task before, if it can hold one more task of an array.

        It was the best of a sample, and is more so the less room it has left.
        """
        if job.spec.job_kind != wire.ARRAY:
            return None
        needs = None if search.overdue else self._jobs.gpu_reservations
        fit = Fit(job.spec, needs, self._accept(job, search, keep))
        return machine if fit(machine, self._term.machine_types[machine.machine_type]) else None

    def _accept(self, job: Job, search: _Search, keep: Keep | None) -> Keep | None:
        """Which machines the job may use, beside its own conditions; None: any."""
        if not job.spec.is_best_effort or search.overdue:
            return keep
        if job.number not in self._worth:
            self._worth[job.number] = self._worth_using(job.spec, keep)
        return self._worth[job.number]

    def _search(self, job: Job, shut: frozenset[str]) -> _Search:
        spec = job.spec
        like = (
            spec.machine_types,
            spec.zone,
            spec.spot,
            spec.job_kind,
            wire.RANKS[spec.rank],
            bool(spec.gpus),
            shut,
        )
        return _Search(like, self._is_overdue(job))

    def _is_overdue(self, job: Job) -> bool:
        return self._now - job.pending_since > self._preemption.quota_reclaim.patience(job)

    def _choose(
        self,
        job: Job,
        shut: frozenset[str],
        search: _Search,
        full: placement.Exhausted,
        keep: Keep | None,
    ) -> Machine | None:
        spec = job.spec
        known = full.covers(search, spec)
        needs = None if search.overdue else self._jobs.gpu_reservations
        accept = self._accept(job, search, keep)
        where = self._grown if known else self._index
        machine = choose(spec, job.number, where, needs, self._policy.sample, shut, accept)
        if machine is None:
            self.unfit.add(search, spec)
            if not (known or self._has_grown):
                full.add(search, spec)
        return machine

    def _worth_using(self, spec: wire.Spec, keep: Keep | None) -> Keep:
        """Whether best-effort work may use a machine: not a dear one that nothing else is on."""
        dear = find_expensive_types(
            spec,
            self._term.machine_types,
            self._jobs.gpu_reservations,
            self._policy.best_effort_price,
        )

        def worth(machine: Machine) -> bool:
            if not machine.anchors and (machine.machine_type, machine.spot) in dear:
                return False
            return keep is None or keep(machine)

        return worth

    def _preempt(self, job: Job, shut: frozenset[str], search: _Search) -> None:
        """Stops others for the job's next task, where that is due.

        Batch work stops others for one task of a shape at a time. For services, who may be stopped
        depends on the team too, while they are within its guarantee.
        """
        spec = job.spec
        kin = search.like, self._preemption.party(job)
        if self._preemption.found_nobody(kin, spec) or (job.shape, kin) in self._asked:
            return
        if self._preemption.make_room(job, kin, self._index, shut) and not spec.spread:
            self._asked.add((job.shape, kin))
