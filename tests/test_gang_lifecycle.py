"""Property tests of the gang decisions: next actions, choice of machines, preemption."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from flaxtally.gangs.gang_capacity import (
    GangMachineSearch,
    choose_machines_for_gang,
    choose_machines_for_missing,
)
from flaxtally.gangs.gang_preemption import Candidate, Victim, choose_machines
from flaxtally.gangs.lifecycle import (
    Action,
    GangStatus,
    GangTimeouts,
    Member,
    Phase,
    decide_action,
    derive_phase,
)
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.planning.fleet import Machine
from flaxtally.planning.machine_index import MachineIndex
from flaxtally.planning.placement import FreeResources, GpuReservations
from flaxtally.protocol import wire

from .ledger_records import accepted, record
from .simulated_cluster import TYPES, ZONES, batch, gang

MACHINE_TYPES = {machine_type.name: machine_type for machine_type in TYPES}
TIMEOUTS = GangTimeouts(wait_s=20.0, peer_s=4.0)
CHECKPOINT_SAVE_S = 1.0

members = st.lists(
    st.builds(
        Member,
        attempt=st.sampled_from([1, 1, 1, 2]),
        is_committed=st.sampled_from([True, True, True, False]),
        state=st.sampled_from(["", wire.FETCHING, wire.WAITING, wire.RUNNING, wire.FLUSHING]),
    ),
    max_size=4,
)
statuses = st.builds(
    GangStatus,
    task_count=st.just(4),
    members=members.map(tuple),
    is_done=st.sampled_from([False, False, True]),
    is_cancelled=st.sampled_from([False, False, True]),
    has_run=st.booleans(),
    is_broken=st.sampled_from([False, False, True]),
    since_stop_s=st.sampled_from([None, None, 0.5, 30.0]),
    since_launch_s=st.sampled_from([0.5, 15.0]),
)


@pytest.mark.real_processes
@given(statuses)
@examples(derandomize=True, max_examples=800)
def test_decided_action_is_safe_in_any_status(status: GangStatus) -> None:
    # An unsafe action runs a task twice, mixes attempts, or stops a gang that could complete.
    action, phase = decide_action(status, TIMEOUTS, CHECKPOINT_SAVE_S), derive_phase(status)
    if status.is_done or status.is_cancelled:
        assert action is Action.NOTHING
        return
    # A new attempt begins if and only if no task of the last one is placed.
    assert (action is Action.PLACE) == (not status.members)
    if action is Action.REPLACE:
        # Some tasks are missing, and the gang has certainly not started running.
        assert 0 < len(status.members) < status.task_count
        assert not status.has_run
        assert {member.state for member in status.members} <= {wire.FETCHING, wire.WAITING}
        assert len({member.attempt for member in status.members}) == 1
        assert status.since_stop_s is None
        assert status.since_launch_s < TIMEOUTS.wait_s
    if action is Action.ABANDON:
        # Never a gang that is complete, of one attempt, not abandoned and not overdue with saving.
        is_complete = len(status.members) == status.task_count
        is_one_attempt = len({member.attempt for member in status.members}) == 1
        is_overdue = (
            status.since_stop_s is not None
            and status.since_stop_s > CHECKPOINT_SAVE_S + 2 * TIMEOUTS.peer_s
        )
        assert not (is_complete and is_one_attempt and not status.is_broken and not is_overdue)
    if phase is Phase.RESERVED:
        # Nothing is decided before its commit succeeds or fails.
        assert action is Action.NOTHING


@pytest.mark.real_processes
@given(statuses)
@examples(derandomize=True, max_examples=400)
def test_gang_that_lost_a_task_is_always_acted_on(status: GangStatus) -> None:
    # A gang that misses a task can't make progress: waiting would block its machines.
    action = decide_action(status, TIMEOUTS, CHECKPOINT_SAVE_S)
    is_incomplete = 0 < len(status.members) < status.task_count
    is_reported = all(member.is_committed and member.state for member in status.members)
    is_saving = (
        status.since_stop_s is not None
        and status.since_stop_s < CHECKPOINT_SAVE_S + 2 * TIMEOUTS.peer_s
    )
    if is_incomplete and is_reported and not (is_saving or status.is_done or status.is_cancelled):
        assert action in (Action.REPLACE, Action.ABANDON)


# Capacity


def make_machines(rng: random.Random, count: int) -> list[Machine]:
    machines = []
    for number in range(count):
        machine_type = rng.choice(TYPES)
        machine = Machine(
            f"n-{number:06d}", machine_type.name, rng.choice(ZONES), spot=False, now=0.0
        )
        machine.cores = float(rng.randrange(int(machine_type.cores) + 1))
        machine.is_booting = False
        machines.append(machine)
    return machines


@pytest.mark.real_processes
@given(
    st.integers(0, 10**6),
    st.integers(1, 12),
    st.booleans(),
    st.booleans(),
    st.sampled_from([1.0, 2.0, 5.0]),
)
@examples(derandomize=True, max_examples=150)
def test_gang_gets_machines_for_all_tasks_or_none_and_no_reservation_is_left(
    seed: int, tasks: int, one_zone: bool, spread: bool, cores: float
) -> None:
    # The search reserves capacity task by task: it must undo that, also when it fails half-way.
    rng = random.Random(seed)
    machines = make_machines(rng, 8)
    index = MachineIndex.of(machines, MACHINE_TYPES, rng)
    before = {machine: (machine.cores, machine.memory_gb) for machine in machines}
    job = gang("j-000001", tasks, one_zone=one_zone, spread=spread, cores=cores)
    search = GangMachineSearch(job, 1, index, GpuReservations(), 24, None)
    choice = choose_machines_for_gang(search, set(ZONES), 60.0)
    after = {machine: (machine.cores, machine.memory_gb) for machine in machines}
    assert after == before
    if choice is None:
        return
    assert len(choice.machines) == tasks
    zones = Counter(machine.zone for machine in choice.machines)
    assert not one_zone or len(zones) == 1
    assert not spread or max(zones.values()) <= (tasks + 1) // 2
    for machine, count in Counter(choice.machines).items():
        assert machine.cores + count * cores <= MACHINE_TYPES[machine.machine_type].cores + 1e-6


def test_missing_tasks_are_placed_in_the_zone_of_the_others() -> None:
    # A replaced task of a gang that must be in one zone may not be placed in another.
    rng = random.Random(1)
    machines = make_machines(rng, 12)
    for machine in machines:
        machine.cores = 0.0
    index = MachineIndex.of(machines, MACHINE_TYPES, rng)
    search = GangMachineSearch(gang("j-000001", 4), 1, index, GpuReservations(), 24, None)
    for zone in ZONES:
        choice = choose_machines_for_missing(search, 2, set(ZONES), {zone: 2}, 60.0)
        assert choice is not None
        assert {machine.zone for machine in choice.machines} == {zone}


def test_gang_without_capacity_causes_no_search_per_task() -> None:
    # With 4,000 machines, each failed search for 100,000 tasks blocked the event loop for 2.3 s.
    rng = random.Random(1)
    index = MachineIndex.of(make_machines(rng, 300), MACHINE_TYPES, rng)
    search = GangMachineSearch(gang("j-000001", 100_000), 1, index, GpuReservations(), 24, None)
    assert choose_machines_for_gang(search, set(ZONES), 60.0) is None
    assert index.examined_count == 0
    few = GangMachineSearch(gang("j-000002", 40), 1, index, GpuReservations(), 24, None)
    assert choose_machines_for_gang(few, set(ZONES), 60.0) is not None


@pytest.mark.real_processes
@given(st.integers(0, 10**6), st.integers(1, 14))
@examples(derandomize=True, max_examples=120)
def test_preemption_frees_capacity_for_all_tasks_or_has_no_victims(seed: int, tasks: int) -> None:
    # Preemption for a part of a gang, or of more tasks than necessary, discards work for nothing.
    rng = random.Random(seed)
    job = gang("j-000001", tasks, cores=3.0, memory_gb=1.0)
    cluster_state = ClusterState()
    cluster_state.apply(accepted(1, 1.0, batch("j-000002", 40, checkpoint_interval_s=1.0)), 1)
    candidates, max_tasks = [], 0
    for number, machine in enumerate(make_machines(rng, 5)):
        machine_type = MACHINE_TYPES[machine.machine_type]
        victims = []
        for task in range(number * 8, number * 8 + rng.randrange(4)):
            cluster_state.apply(record("P", 1, task, 1, machine.name, machine.zone), 1)
            victims.append(Victim(cluster_state.jobs[1].placements[task], rng.uniform(0, 50)))
        free = FreeResources(machine_type.cores - machine.cores, 0.0, 64.0)
        candidates.append(Candidate(machine, machine_type, free, victims))
        max_tasks += int((free.cores + 3.0 * len(victims) + 1e-6) / 3.0)
    chosen = choose_machines(job, tasks, candidates, GpuReservations())
    assert (chosen is not None) == (max_tasks >= tasks)
    if chosen is None:
        return
    assert sum(slots.task_count for slots in chosen) >= tasks
    by_machine = {candidate.machine: candidate for candidate in candidates}
    for slots in chosen:
        candidate = by_machine[slots.machine]
        free_cores = candidate.free.cores + 3.0 * len(slots.victims)
        assert slots.task_count * 3.0 <= free_cores + 1e-6
        # The victims are needed: without them, fewer tasks would fit.
        assert (
            not slots.victims
            or (slots.task_count * 3.0) > free_cores - 3.0 * len(slots.victims) + 1e-6
        )
        costs = [
            victim.preemption_cost
            for victim in candidate.victims
            if victim.placement in slots.victims
        ]
        assert slots.preemption_cost == pytest.approx(sum(costs))
