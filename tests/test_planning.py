"""Tests of the forecast, provisioning, placement and emptying of machines without a cluster."""

from __future__ import annotations

import copy
import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from flaxtally.api.sharding import find_shard_owner
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.planning.choice import choose_machine
from flaxtally.planning.consolidation import EmptyingRules, TargetSearch, choose_machine_to_empty
from flaxtally.planning.fleet import Machine, Pool
from flaxtally.planning.forecast import ArrivalStatistics
from flaxtally.planning.machine_index import MachineIndex
from flaxtally.planning.packing import Bin, Demand, FreeCapacity, pack_demand
from flaxtally.planning.placement import GpuReservations, compute_gpu_reservations
from flaxtally.planning.provisioning import ForecastStep, ProvisionDecision, Provisioner
from flaxtally.protocol.shape import Shape

from .ledger_records import accepted, record
from .simulated_cluster import TYPES, batch, spec

if TYPE_CHECKING:
    from flaxtally.protocol import wire


MACHINE_TYPES = {machine_type.name: machine_type for machine_type in TYPES}


NO_GPU_RESERVATIONS = GpuReservations()


def empty_bin(machine_type: str, zone: str = "a", spot: bool = False) -> Bin:
    entry = MACHINE_TYPES[machine_type]
    return Bin.empty(entry, zone, spot=spot)


def test_arrival_rate_leaves_out_the_busiest_buckets() -> None:
    # A burst of 80 tasks at start-up must not raise the rate that plans provision for.
    arrivals = ArrivalStatistics(100.0, 5.0)
    arrivals.record_arrival("batch", 80, 30.0, 0.0)
    for at in range(5, 100, 5):
        arrivals.record_arrival("batch", 2, 30.0, float(at))
    assert arrivals.tasks_per_s("batch", 100.0) == pytest.approx(0.4, rel=0.15)
    assert arrivals.tasks_per_s("other", 100.0) == 0.0


def test_mean_run_time_is_not_that_of_one_long_job() -> None:
    # The estimate of the last job alone (160 s in a class of 35 s) made each plan provision for
    # arrivals that all ran that long: over a hundred machines, which became idle one after the
    # other (found on magnolia-plant-fleet).
    arrivals = ArrivalStatistics(100.0, 5.0)
    for at in range(20):
        arrivals.record_arrival("batch", 10, 35.0, float(at))
    arrivals.record_arrival("batch", 5, 160.0, 20.0)
    assert 35.0 < arrivals.mean_run_s("batch", 20.0) < 40.0
    assert arrivals.mean_run_s("other", 20.0) == 0.0


def plan(
    steps: list[ForecastStep], machine_types: dict[str, wire.MachineType], pools: list[Pool]
) -> list[ProvisionDecision]:
    return Provisioner(machine_types, pools, NO_GPU_RESERVATIONS, 1.1).plan(steps, 9)


def test_plan_provisions_the_pool_with_the_lowest_price_per_work() -> None:
    # Guards against provisioning of a type that costs more per task, or of machines for demand
    # that free capacity holds.
    service = Shape.of(spec("j-000001"))
    pools = [
        Pool(machine_type, zone, spot)
        for machine_type in MACHINE_TYPES
        for zone in "ab"
        for spot in (False, True)
    ]
    decisions = plan(
        [ForecastStep(0.0, [Demand(service, 10, 300.0)], FreeCapacity())], MACHINE_TYPES, pools
    )
    assert [(decision.pool.machine_type, decision.pool.spot) for decision in decisions] == [
        ("c16", False)
    ] * 2
    gpu = Shape.of(batch("j-000002", 8))
    decisions = plan(
        [ForecastStep(0.0, [Demand(gpu, 8, 60.0)], FreeCapacity())], MACHINE_TYPES, pools
    )
    assert [(decision.pool.machine_type, decision.pool.spot) for decision in decisions] == [
        ("g8", True)
    ]
    assert (
        plan(
            [ForecastStep(0.0, [Demand(gpu, 8, 60.0)], FreeCapacity([empty_bin("g8")]))],
            MACHINE_TYPES,
            pools,
        )
        == []
    )


def test_plan_provisions_a_second_zone_for_a_spread_job() -> None:
    # Free capacity for both replicas of a spread job in one zone must count for one of them only.
    service = Shape.of(spec("j-000001", tasks=2))
    pools = [Pool("c16", zone, False) for zone in "ab"]
    demand = Demand(service, 2, 300.0, max_tasks_by_zone={"a": 1, "b": 1})
    decisions = plan(
        [ForecastStep(0.0, [demand], FreeCapacity([empty_bin("c16", "a")]))], MACHINE_TYPES, pools
    )
    assert [decision.pool.zone for decision in decisions] == ["b"]


def test_plan_fills_an_early_gap_with_machines_that_boot_in_time_unless_they_are_expensive() -> (
    None
):
    # Large machines that were still booting counted as capacity, so that small replicas waited a
    # minute for them, while small machines boot in a third of that time.
    service = Shape.of(spec("j-000001"))
    pools = [Pool(machine_type, "a", False) for machine_type in ("c16", "g8")]
    quick, slow = (
        MACHINE_TYPES["c16"],
        msgspec.structs.replace(MACHINE_TYPES["g8"], hourly_price=1.0, boot_s=60.0),
    )

    def machine_types_with_price(price: float) -> dict[str, wire.MachineType]:
        return {"c16": msgspec.structs.replace(quick, hourly_price=price), "g8": slow}

    steps = [
        ForecastStep(30.0, [Demand(service, 8, 300.0)], FreeCapacity()),
        ForecastStep(60.0, [Demand(service, 8, 300.0)], FreeCapacity()),
    ]
    assert [
        decision.pool.machine_type
        for decision in plan(copy.deepcopy(steps), machine_types_with_price(0.6), pools)
    ] == ["c16"]
    assert [
        decision.pool.machine_type
        for decision in plan(copy.deepcopy(steps), machine_types_with_price(5.0), pools)
    ] == ["g8"]


def test_free_capacity_on_several_machines_does_not_hold_a_large_task() -> None:
    # Packing into the sum of free GPUs would hide the gap: no single machine can hold the task.
    large_task = Demand(Shape.of(batch("j-000001", 1, image="x")), 1, 60.0)
    half_free_bins = [Bin(MACHINE_TYPES["g8"], "a", 32.0, 0.5, 256.0, spot=True) for _ in range(4)]
    assert pack_demand(large_task, FreeCapacity(half_free_bins), NO_GPU_RESERVATIONS) == 1


def test_placement_prefers_cached_images_and_reserves_cores_for_free_gpus() -> None:
    # Guards against needless image fetches, and against GPUs that stay idle because tasks without
    # GPUs use the cores of their machine.
    service, gpu_job = spec("j-000001", image_gb=8.0), batch("j-000002", 1)
    cold, warm, gpu = (
        Machine(name, machine_type, "a", spot=False, now=0.0)
        for name, machine_type in (("n-1", "c16"), ("n-2", "c16"), ("n-3", "g8"))
    )
    warm.record_image("img-1", 8.0, 40.0)
    chosen = choose_machine(
        service,
        1,
        MachineIndex.of([cold, warm], MACHINE_TYPES, random.Random(1)),
        NO_GPU_RESERVATIONS,
        9,
        (),
    )
    assert chosen is warm
    gpu_reservations = compute_gpu_reservations([gpu_job])
    gpu.cores = 8.0  # The 24 free cores are all reserved for its 8 free GPUs.
    assert (
        choose_machine(
            service,
            1,
            MachineIndex.of([gpu], MACHINE_TYPES, random.Random(1)),
            gpu_reservations,
            9,
            (),
        )
        is None
    )
    assert (
        choose_machine(
            gpu_job,
            2,
            MachineIndex.of([gpu], MACHINE_TYPES, random.Random(1)),
            gpu_reservations,
            9,
            (),
        )
        is gpu
    )
    assert (
        choose_machine(
            service,
            1,
            MachineIndex.of([warm], MACHINE_TYPES, random.Random(1)),
            NO_GPU_RESERVATIONS,
            9,
            {"a"},
        )
        is None
    )


def test_shard_change_moves_only_the_machines_of_the_lost_controller() -> None:
    # Guards against a shard assignment that moves the machines of other controllers, too, when one
    # is lost, or that ignores the zone of the machine.
    names = [f"n-{number:06d}" for number in range(300)]
    zones = {"h0": "a", "h1": "b", "h2": "b"}
    with_three = {name: find_shard_owner(name, "c", ["h0", "h1", "h2"], zones) for name in names}
    with_two = {name: find_shard_owner(name, "c", ["h0", "h1"], zones) for name in names}
    assert all(60 < list(with_three.values()).count(node) < 140 for node in ("h0", "h1", "h2"))
    assert all(with_two[name] == with_three[name] for name in names if with_three[name] != "h2")
    assert find_shard_owner("n-1", "a", [], zones) is None
    assert {find_shard_owner(name, "b", ["h0", "h1", "h2"], zones) for name in names} == {
        "h1",
        "h2",
    }
    assert {find_shard_owner(name, "a", ["h1", "h2"], zones) for name in names} == {"h1", "h2"}


def test_choice_of_a_machine_to_empty_counts_capacity_for_those_being_emptied() -> None:
    # Several machines are emptied at a time in a large fleet; the replicas of two of them must not
    # be assigned to the same free capacity.
    state, fleet = (
        ClusterState(),
        [Machine(name, "c16", "a", spot=False, now=0.0) for name in ("x", "y", "z")],
    )
    for number, machine in enumerate(fleet, 1):
        state.apply(accepted(number, 0.0, spec(f"j-{number:06d}", cores=7.0)), 1)
        state.apply(record("P", number, 0, 1, machine.name, "a"), 1)
        machine.add_placement(state.jobs[number].placements[0])
        machine.images["img-1"] = 1.0
    x, _, z = fleet
    z.reserve(spec("j-000009", cores=4.0), 1)

    def choose_while_emptying(emptying: list[Machine]) -> Machine | None:
        candidates = [machine for machine in fleet if machine not in emptying]
        return choose_machine_to_empty(
            candidates,
            MACHINE_TYPES,
            random.Random(1),
            TargetSearch(NO_GPU_RESERVATIONS, 24, lambda *_: ()),
            EmptyingRules(lambda _: True, allow_finite_tasks=True),
            emptying,
        ).machine

    assert choose_while_emptying([]) in fleet
    assert choose_while_emptying([x]) is None
    z.reserve(spec("j-000009", cores=4.0), -1)
    assert choose_while_emptying([x]) is not None
