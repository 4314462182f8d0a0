"""Chooses an underused machine to empty by moving its replicas to other machines.

Performs no I/O. Machines are terminated once they are idle, but long-running replicas keep
underused machines from ever becoming idle. The replicas move to capacity that is paid for anyway;
one whose image the target has is unavailable for a fraction of a second.
"""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..protocol import wire
from .choice import choose_machine
from .machine_index import MachineIndex
from .placement import compute_free_resources

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence

    from ..ledger.job import Job
    from ..ledger.placement import Placement
    from .fleet import Machine
    from .placement import GpuReservations


@dataclass(frozen=True)
class TargetSearch:
    """The parameters of a search for machines to which replicas can move."""

    gpu_reservations: GpuReservations
    sample_size: int
    find_excluded_zones: Callable[[Job, Placement], Collection[str]]
    """Returns the zones that a job may not use once this placement of it has moved."""
    make_availability_filter: Callable[[Job], Callable[[Machine], bool] | None] = lambda _: None
    """Returns a filter of machines whose capacity isn't reserved against the job; None: all."""
    stoppable: Mapping[Machine, Sequence[wire.Spec]] = field(default_factory=dict)
    """The best-effort tasks on each machine whose capacity counts as free."""


@dataclass(frozen=True)
class EmptyingRules:
    """Decides which machines may be emptied."""

    is_settled: Callable[[Placement], bool]
    """Whether a replica has run for long enough to be moved."""
    allow_finite_tasks: bool
    """Whether machines that run array tasks may be emptied; they get no new ones meanwhile."""
    skipped: Collection[str] = ()
    """Names of machines that could not be emptied in a recent attempt."""
    min_hourly_price: float = 0.0
    """The lowest price of a machine whose termination justifies moving its replicas."""


@dataclass(frozen=True)
class EmptyingChoice:
    """The machine to empty, if any, and the names of machines that can't be emptied."""

    machine: Machine | None
    rejected: Sequence[str] = ()


class _TentativeMoves:
    """Reserves capacity for the replicas of machines, until the reservations are undone."""

    def __init__(self, index: MachineIndex, search: TargetSearch) -> None:
        self._index = index
        self._search = search
        self._reserved: list[tuple[Machine, wire.Spec]] = []

    def __len__(self) -> int:
        """Returns how many replicas have a reservation."""
        return len(self._reserved)

    def reserve_targets(self, machine: Machine) -> bool:
        """Reserves capacity for each replica of the machine; returns False if one finds none."""
        for placed in sorted(list_replicas(machine), key=lambda placed: -placed.job.spec.cores):
            spec = placed.job.spec
            found = find_target(placed, machine, self._index, self._search)
            if found is None:
                return False
            found.reserve(spec, 1)
            self._index.update(found)
            self._reserved.append((found, spec))
        return True

    def undo_to(self, count: int) -> None:
        """Undoes all reservations but the first `count`."""
        while len(self._reserved) > count:
            machine, spec = self._reserved.pop()
            machine.reserve(spec, -1)
            self._index.update(machine)

    def undo_all(self) -> None:
        """Undoes all reservations without an update of the index, which must be discarded then."""
        for machine, spec in self._reserved:
            machine.reserve(spec, -1)


def choose_machine_to_empty(
    machines: Sequence[Machine],
    machine_types: dict[str, wire.MachineType],
    rng: random.Random,
    search: TargetSearch,
    rules: EmptyingRules,
    emptying: Collection[Machine] = (),
) -> EmptyingChoice:
    """Chooses the machine whose termination saves the most per moved replica.

    All its replicas must fit on other used machines, or on idle ones that cost less than half.
    Capacity for the replicas of machines that are already being emptied is reserved first.
    """
    candidates = _rank_candidates(machines, machine_types, rules)
    if not candidates:
        return EmptyingChoice(None)
    moves = _TentativeMoves(MachineIndex.of(machines, machine_types, rng), search)
    try:
        if not all(moves.reserve_targets(machine) for machine in emptying):
            return EmptyingChoice(None)
        return _choose_first_that_fits(candidates[: max(1, search.sample_size // 4)], moves)
    finally:
        moves.undo_all()


def _rank_candidates(
    machines: Iterable[Machine], machine_types: dict[str, wire.MachineType], rules: EmptyingRules
) -> list[Machine]:
    """Returns the machines that the rules allow to be emptied, largest saving first."""
    savings: list[tuple[float, Machine]] = []
    for machine in machines:
        price = get_hourly_price(machine, machine_types)
        if machine.name in rules.skipped or price < rules.min_hourly_price:
            continue
        replicas = list_replicas(machine)
        has_only_replicas = len(replicas) == len(machine.placements)
        if (
            replicas
            and all(rules.is_settled(placed) for placed in replicas)
            and (rules.allow_finite_tasks or has_only_replicas)
        ):
            savings.append((price / len(replicas), machine))
    savings.sort(key=lambda entry: -entry[0])
    return [machine for _, machine in savings]


def _choose_first_that_fits(
    candidates: Iterable[Machine], moves: _TentativeMoves
) -> EmptyingChoice:
    rejected: list[str] = []
    count_before = len(moves)
    for machine in candidates:
        if moves.reserve_targets(machine):
            return EmptyingChoice(machine, rejected)
        rejected.append(machine.name)
        moves.undo_to(count_before)
    return EmptyingChoice(None, rejected)


@contextmanager
def without_best_effort(
    machines: Iterable[Machine],
) -> Iterator[Mapping[Machine, Sequence[wire.Spec]]]:
    """Counts the capacity of best-effort tasks as free, since replicas preempt them.

    Yields these tasks by machine, for `TargetSearch.stoppable`.
    """
    stoppable: dict[Machine, list[wire.Spec]] = {}
    for machine in machines:
        for placed in machine.placements.values():
            if placed.is_best_effort and placed.stopping_at is None:
                stoppable.setdefault(machine, []).append(placed.job.spec)
    _reserve_all(stoppable, -1)
    try:
        yield stoppable
    finally:
        _reserve_all(stoppable, 1)


def _reserve_all(specs_by_machine: Mapping[Machine, Sequence[wire.Spec]], count: int) -> None:
    for machine, specs in specs_by_machine.items():
        for spec in specs:
            machine.reserve(spec, count)


def find_target(
    placed: Placement, machine: Machine, index: MachineIndex, search: TargetSearch
) -> Machine | None:
    """Returns the machine to which a replica of `machine` can move now; None: there is none."""
    job = placed.job
    is_available = search.make_availability_filter(job)
    return choose_machine(
        job.spec,
        job.number,
        index,
        search.gpu_reservations,
        search.sample_size,
        search.find_excluded_zones(job, placed),
        lambda other: (
            can_move(machine, other, job.spec, index.machine_types)
            and (is_available is None or is_available(other))
            and _may_stop_for_move(machine, other, job.spec, index.machine_types, search)
        ),
    )


def _may_stop_for_move(
    source: Machine,
    target: Machine,
    spec: wire.Spec,
    machine_types: dict[str, wire.MachineType],
    search: TargetSearch,
) -> bool:
    """Whether best-effort tasks on the target may be stopped for the move, if any must be.

    Only if the target is cheaper: otherwise a machine is rented for these tasks, to which the
    replicas move next.
    """
    stoppable = search.stoppable.get(target, ())
    if not stoppable or get_hourly_price(target, machine_types) < get_hourly_price(
        source, machine_types
    ):
        return True
    free = compute_free_resources(target, machine_types[target.machine_type])
    for stopped in stoppable:
        free = free.minus(stopped)
    return free.holds(spec)


def can_move(
    source: Machine, target: Machine, spec: wire.Spec, machine_types: dict[str, wire.MachineType]
) -> bool:
    """Whether a replica may move from the source to the target machine.

    The target must be in use, or cost less than half as much as the source. It must also have the
    replica's image, unless the replica leaves GPUs that it doesn't need for a machine without GPUs.
    """
    if target is source or not (
        target.placements
        or 2 * get_hourly_price(target, machine_types) < get_hourly_price(source, machine_types)
    ):
        return False
    frees_gpus = (
        machine_types[source.machine_type].gpus
        and not spec.gpus
        and not machine_types[target.machine_type].gpus
    )
    return spec.image in target.images or bool(frees_gpus)


def list_replicas(machine: Machine) -> list[Placement]:
    """Returns the tasks that must move; array tasks stay until they finish."""
    return [
        placed for placed in machine.placements.values() if placed.job.spec.job_kind == wire.SERVICE
    ]


def get_hourly_price(machine: Machine, machine_types: dict[str, wire.MachineType]) -> float:
    """Returns the hourly price of the machine."""
    machine_type = machine_types[machine.machine_type]
    return machine_type.hourly_spot_price if machine.spot else machine_type.hourly_price
