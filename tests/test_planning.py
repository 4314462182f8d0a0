"""Forecast, provisioning and placement by themselves."""

from __future__ import annotations

import copy
import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from flaxtally.api.sharding import find_shard_owner
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.planning.choice import choose
from flaxtally.planning.consolidation import EmptyingRules, TargetSearch, choose_machine_to_empty
from flaxtally.planning.fleet import Machine, Pool
from flaxtally.planning.forecast import Arrivals
from flaxtally.planning.machine_index import MachineIndex
from flaxtally.planning.packing import Bin, Demand, FreeCapacity, pack_demand
from flaxtally.planning.placement import GpuNeeds, gpu_needs
from flaxtally.planning.provisioning import ForecastStep, ProvisionDecision, Provisioner
from flaxtally.protocol.shape import Shape

from .ledger_records import accepted, record
from .simulated_cluster import TYPES, batch, spec

if TYPE_CHECKING:
    from flaxtally.protocol import wire


KINDS = {kind.name: kind for kind in TYPES}


NEEDS = GpuNeeds()


def room(kind: str, zone: str = "a", spot: bool = False) -> Bin:
    entry = KINDS[kind]
    return Bin.empty(entry, zone, spot=spot)


def test_forecast_averages_and_leaves_the_burst_out() -> None:
    arrivals = Arrivals(100.0, 5.0)
    arrivals.note("batch", 80, 30.0, 0.0)
    for at in range(5, 100, 5):
        arrivals.note("batch", 2, 30.0, float(at))
    assert arrivals.rate("batch", 100.0) == pytest.approx(0.4, rel=0.15)
    assert arrivals.rate("other", 100.0) == 0.0


def test_one_long_job_does_not_stand_for_its_lane() -> None:
    # Found on magnolia-plant-fleet: the last job's estimate (160 s for a class of 35 s) made each
    # plan rent for all arrivals of that long, a hundred machines and more; they fell idle one after
    # the other.
    arrivals = Arrivals(100.0, 5.0)
    for at in range(20):
        arrivals.note("batch", 10, 35.0, float(at))
    arrivals.note("batch", 5, 160.0, 20.0)
    assert 35.0 < arrivals.length("batch", 20.0) < 40.0
    assert arrivals.length("other", 20.0) == 0.0


def plan(
    steps: list[ForecastStep], kinds: dict[str, wire.MachineType], pools: list[Pool]
) -> list[ProvisionDecision]:
    return Provisioner(kinds, pools, NEEDS, 1.1).plan(steps, 9)


def test_fill_takes_the_cheapest_per_work_and_the_open_zone() -> None:
    gate = Shape.of(spec("j-000001"))
    pools = [Pool(kind, zone, spot) for kind in KINDS for zone in "ab" for spot in (False, True)]
    rents = plan([ForecastStep(0.0, [Demand(gate, 10, 300.0)], FreeCapacity())], KINDS, pools)
    assert [(rent.pool.machine_type, rent.pool.spot) for rent in rents] == [("c16", False)] * 2
    gpu = Shape.of(batch("j-000002", 8))
    rents = plan([ForecastStep(0.0, [Demand(gpu, 8, 60.0)], FreeCapacity())], KINDS, pools)
    assert [(rent.pool.machine_type, rent.pool.spot) for rent in rents] == [("g8", True)]
    assert (
        plan([ForecastStep(0.0, [Demand(gpu, 8, 60.0)], FreeCapacity([room("g8")]))], KINDS, pools)
        == []
    )


def test_fill_sees_that_spread_jobs_need_a_second_zone() -> None:
    # Two replicas of one spread job: room for both in one zone is room for one.
    gate = Shape.of(spec("j-000001", tasks=2))
    pools = [Pool("c16", zone, False) for zone in "ab"]
    demand = Demand(gate, 2, 300.0, max_tasks_by_zone={"a": 1, "b": 1})
    rents = plan([ForecastStep(0.0, [demand], FreeCapacity([room("c16", "a")]))], KINDS, pools)
    assert [rent.pool.zone for rent in rents] == ["b"]


def test_fill_serves_an_early_gap_with_what_boots_in_time_unless_that_is_dear() -> None:
    # Found on a grown deployment: small front replicas waited a minute for big machines that were
    # still booting and counted as room, while small ones boot in a third of that time.
    gate = Shape.of(spec("j-000001"))
    pools = [Pool(kind, "a", False) for kind in ("c16", "g8")]
    quick, slow = KINDS["c16"], msgspec.structs.replace(KINDS["g8"], hourly_price=1.0, boot_s=60.0)

    def kinds_for(price: float) -> dict[str, wire.MachineType]:
        return {"c16": msgspec.structs.replace(quick, hourly_price=price), "g8": slow}

    steps = [
        ForecastStep(30.0, [Demand(gate, 8, 300.0)], FreeCapacity()),
        ForecastStep(60.0, [Demand(gate, 8, 300.0)], FreeCapacity()),
    ]
    assert [
        rent.pool.machine_type for rent in plan(copy.deepcopy(steps), kinds_for(0.6), pools)
    ] == ["c16"]
    assert [
        rent.pool.machine_type for rent in plan(copy.deepcopy(steps), kinds_for(5.0), pools)
    ] == ["g8"]


def test_pieces_of_room_do_not_add_up() -> None:
    # The sum of free GPUs would hold the task; no single machine does.
    big = Demand(Shape.of(batch("j-000001", 1, image="x")), 1, 60.0)
    half = [Bin(KINDS["g8"], "a", 32.0, 0.5, 256.0, spot=True) for _ in range(4)]
    assert pack_demand(big, FreeCapacity(half), NEEDS) == 1


def test_placement_prefers_cached_images_and_leaves_gpus_their_cores() -> None:
    gate, work = spec("j-000001", image_gb=8.0), batch("j-000002", 1)
    cold, warm, gpu = (
        Machine(name, kind, "a", spot=False, now=0.0)
        for name, kind in (("n-1", "c16"), ("n-2", "c16"), ("n-3", "g8"))
    )
    warm.record_image("img-1", 8.0, 40.0)
    chosen = choose(gate, 1, MachineIndex.of([cold, warm], KINDS, random.Random(1)), NEEDS, 9, ())
    assert chosen is warm
    needs = gpu_needs([work])
    gpu.cores = 8.0  # 24 cores left, which its 8 free GPUs will all need
    assert choose(gate, 1, MachineIndex.of([gpu], KINDS, random.Random(1)), needs, 9, ()) is None
    assert choose(work, 2, MachineIndex.of([gpu], KINDS, random.Random(1)), needs, 9, ()) is gpu
    assert (
        choose(gate, 1, MachineIndex.of([warm], KINDS, random.Random(1)), NEEDS, 9, {"a"}) is None
    )


def test_hashing_moves_only_the_lost_controllers_machines() -> None:
    names = [f"n-{number:06d}" for number in range(300)]
    zones = {"h0": "a", "h1": "b", "h2": "b"}
    three = {name: find_shard_owner(name, "c", ["h0", "h1", "h2"], zones) for name in names}
    two = {name: find_shard_owner(name, "c", ["h0", "h1"], zones) for name in names}
    assert all(60 < list(three.values()).count(node) < 140 for node in ("h0", "h1", "h2"))
    assert all(two[name] == three[name] for name in names if three[name] != "h2")
    assert find_shard_owner("n-1", "a", [], zones) is None
    assert {find_shard_owner(name, "b", ["h0", "h1", "h2"], zones) for name in names} == {
        "h1",
        "h2",
    }
    assert {find_shard_owner(name, "a", ["h1", "h2"], zones) for name in names} == {"h1", "h2"}


def test_emptying_counts_the_room_that_machines_being_emptied_will_need() -> None:
    # Several machines are emptied at a time in a large fleet: two must not count on the same room.
    book, fleet = (
        ClusterState(),
        [Machine(name, "c16", "a", spot=False, now=0.0) for name in ("x", "y", "z")],
    )
    for number, machine in enumerate(fleet, 1):
        book.apply(accepted(number, 0.0, spec(f"j-{number:06d}", cores=7.0)), 1)
        book.apply(record("P", number, 0, 1, machine.name, "a"), 1)
        machine.add_placement(book.jobs[number].placements[0])
        machine.images["img-1"] = 1.0
    x, _, z = fleet
    z.reserve(spec("j-000009", cores=4.0), 1)

    def pick_with(moving: list[Machine]) -> Machine | None:
        usable = [machine for machine in fleet if machine not in moving]
        return choose_machine_to_empty(
            usable,
            KINDS,
            random.Random(1),
            TargetSearch(NEEDS, 24, lambda *_: ()),
            EmptyingRules(lambda _: True, allow_finite_tasks=True),
            moving,
        ).machine

    assert pick_with([]) in fleet
    assert pick_with([x]) is None
    z.reserve(spec("j-000009", cores=4.0), -1)
    assert pick_with([x]) is not None
