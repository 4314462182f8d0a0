"""Room that is held for a gang that has waited for long, so that small work doesn't overtake it."""

from __future__ import annotations

import itertools
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...gangs.gang_preemption import Candidate, MachineSlots, Victim, choose_cheapest_machines
from ...planning import placement
from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from ...ledger.cluster_state import Job
    from ...planning.fleet import Machine
    from ...planning.machine_index import MachineIndex
    from ..jobs import JobRegistry

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class _GangReservation:
    """Machines on which nothing of the gang's rank or lower is placed, until a time."""

    no: int
    rank: int
    until: float
    machines: frozenset[str]


class GangReservations(TermActor):
    """Owns the machines held for gangs: for one gang of each rank at a time, and not for long.

    What runs there ends by itself; those whose tasks end first are held. A gang for which they were
    held in vain lets another go first.
    """

    def __init__(self, term: Term, jobs: JobRegistry) -> None:
        super().__init__(term)
        self.jobs = jobs
        self._holds: dict[int, _GangReservation] = {}
        """By rank."""
        self._rests: dict[int, float] = {}
        """Gangs that were held for in vain, and until when nothing is held for them."""
        self._ended: set[str] = set()
        """Machines that were held, since `take_released_machines` was asked."""

    def reserve_machines(self, job: Job, index: MachineIndex) -> None:
        """Holds machines for the gang, if nothing is held at its rank."""
        rank, now = wire.RANKS[job.spec.rank], self.runtime.now()
        self._expire(now)
        if rank in self._holds or self._rests.get(job.number, 0.0) > now or job.spec.spread:
            return
        machines = self._choose(job, index, now)
        if machines is None:
            return
        until = now + self.policy.keep_patience
        self._holds[rank] = _GangReservation(job.number, rank, until, machines)
        self._rests[job.number] = until + self.policy.keep_patience
        log.info(
            "event=gang_hold term=%d job=%s machines=%d",
            self.term.number,
            job.spec.ref,
            len(machines),
        )

    def on_gang_placed(self, job: Job) -> None:
        """The gang is placed: nothing is held for it any more."""
        self._rests.pop(job.number, None)
        hold = self._holds.get(wire.RANKS[job.spec.rank])
        if hold is not None and hold.no == job.number:
            self._end(hold)

    def machine_filter_for(self, job: Job) -> Callable[[Machine], bool] | None:
        """Whether a machine is not held against the job; None: none is."""
        self._expire(self.runtime.now())
        rank = wire.RANKS[job.spec.rank]
        held = [
            hold.machines
            for hold in self._holds.values()
            if hold.rank <= rank and hold.no != job.number
        ]
        if not held:
            return None
        names = frozenset(itertools.chain.from_iterable(held))
        return lambda machine: machine.name not in names

    def take_released_machines(self) -> set[str]:
        """The machines that are held no more since this was last asked."""
        self._expire(self.runtime.now())
        ended, self._ended = self._ended, set()
        return ended

    def _expire(self, now: float) -> None:
        for hold in list(self._holds.values()):
            job = self.jobs.live_jobs.get(hold.no)
            if now >= hold.until or job is None or job.is_terminal or job.placements:
                self._end(hold)
        self._rests = {no: until for no, until in self._rests.items() if until > now}

    def _end(self, hold: _GangReservation) -> None:
        del self._holds[hold.rank]
        self._ended |= hold.machines

    def _choose(self, job: Job, index: MachineIndex, now: float) -> frozenset[str] | None:
        def candidates(shut: Collection[str]) -> Iterator[Candidate]:
            most = placement.WIDEN**2 * self.policy.sample
            for machine, kind in itertools.islice(index.walk(job.spec, shut), most):
                free = placement.room(machine, kind)
                yield Candidate(machine, kind, free, self._ending(machine, now))

        def longest_wait(found: list[MachineSlots]) -> float:
            return max(share.preemption_cost for share in found)

        found = choose_cheapest_machines(
            job.spec, self.fleet.zones, candidates, placement.GpuNeeds(), longest_wait
        )
        return None if found is None else frozenset(share.machine.name for share in found)

    @staticmethod
    def _ending(machine: Machine, now: float) -> list[Victim]:
        """The tasks that end by themselves, each with the seconds until it is estimated to."""
        return [
            Victim(
                placed,
                max(0.0, placed.job.spec.estimated_run_s - (now - (placed.started_at or now))),
            )
            for placed in machine.finite_placements.values()
        ]
