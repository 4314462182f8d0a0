"""Tests that costs and sizes stay bounded in large fleets.

Covers the machine index, packing, resource shapes, relay batches, machine lists of the cloud,
settings, open files, worker reports, connections and finished jobs.
"""

from __future__ import annotations

import dataclasses
import random
import tracemalloc
from typing import TYPE_CHECKING

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flaxtally.cli import controller_commands, main
from flaxtally.cluster.relay_batch import MAX_INFLATED_BYTES, decode_batch, encode_batch
from flaxtally.fakes.settings_text import settings_text
from flaxtally.leader.reconciliation.reconciler import Reconciler
from flaxtally.leader.resource_shapes import MAX_SHAPES, ResourceShapes
from flaxtally.ledger import terminal_jobs
from flaxtally.planning.fleet import Machine
from flaxtally.planning.forecast import ArrivalStatistics
from flaxtally.planning.machine_index import MachineIndex
from flaxtally.planning.packing import Bin, Demand, FreeCapacity, pack_demand
from flaxtally.planning.placement import (
    SAMPLE_WIDENING_FACTOR,
    GpuReservations,
    compute_free_resources,
    leaves_gpus_usable,
    may_use_machine_type,
)
from flaxtally.protocol import wire
from flaxtally.protocol.shape import Shape
from flaxtally.runtime import open_files
from flaxtally.runtime.http import Client, OpenConnections, Request, Server
from flaxtally.settings import Team, parse, read_toml

from .simulated_cluster import TYPES, SimulatedCluster, batch, spec
from .simulation import Simulation

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

MACHINE_TYPES = {machine_type.name: machine_type for machine_type in TYPES}
SAMPLE_SIZE = 24
LONG_BODY_BYTES = 60_000
"""The body of a forwarded heartbeat: nearly the largest HTTP body, which is 64 KiB."""


# The index

amounts = st.sampled_from((0.0, 0.5, 3.0, 4.0, 7.9, 8.0, 15.5, 16.0))
machines = st.lists(
    st.tuples(
        st.sampled_from(("c16", "g8")),
        st.sampled_from("ab"),
        st.booleans(),
        amounts,
        st.integers(0, 8),
        amounts,
        st.booleans(),
        st.sampled_from(("", "img-1", "img-2")),
    ),
    max_size=40,
)


def make_machine(number: int, drawn: tuple) -> Machine:  # type: ignore[type-arg]
    machine_type, zone, spot, cores, gpus, memory_gb, slow, image = drawn
    machine = Machine(f"n-{number}", machine_type, zone, spot=spot, now=0.0)
    machine.cores, machine.memory_gb, machine.is_slow = cores, memory_gb * 4, slow
    machine.gpus = float(gpus) if machine_type == "g8" else 0.0
    if image:
        machine.record_image(image, 1.0, 40.0)
    return machine


def can_hold_task(
    machine: Machine,
    job: wire.Spec,
    gpu_reservations: GpuReservations | None,
    excluded_zones: frozenset[str],
) -> bool:
    """Whether a search of the index may return the machine, checked without the index."""
    machine_type = MACHINE_TYPES[machine.machine_type]
    free = compute_free_resources(machine, machine_type)
    return (
        machine.zone not in excluded_zones
        and may_use_machine_type(job, machine_type, machine.zone, machine.spot)
        and free.holds(job)
        and (job.job_kind == wire.SERVICE or gpu_reservations is None or not machine.is_slow)
        and (
            gpu_reservations is None
            or leaves_gpus_usable(job, free, machine_type, gpu_reservations)
        )
    )


@settings(max_examples=150, deadline=None)
@given(
    machines,
    machines,
    st.integers(0, 1),
    st.sampled_from((0.0, 1.0, 3.0)),
    st.sampled_from((1.0, 3.0, 8.0)),
    st.booleans(),
    st.booleans(),
    st.sampled_from((frozenset(), frozenset("a"), frozenset("ab"))),
)
def test_index_search_finds_exactly_the_machines_that_fit(
    before: list[tuple],  # type: ignore[type-arg]
    after: list[tuple],  # type: ignore[type-arg]
    gpus: int,
    reserved_cores: float,
    cores: float,
    spot: bool,
    service: bool,
    excluded_zones: frozenset[str],
) -> None:
    # Guards against an index that misses machines, or returns ones that do not fit, after machines
    # were changed, added and removed.
    rng = random.Random(1)
    index = MachineIndex(MACHINE_TYPES, rng)
    known = [make_machine(number, drawn) for number, drawn in enumerate(before)]
    for machine in known:
        index.update(machine)
    # Changes some machines and adds others; some are removed below.
    for number, drawn in enumerate(after):
        if number < len(known):
            _, _, _, used, taken, memory_gb, slow, image = drawn
            machine = known[number]
            machine.cores, machine.memory_gb, machine.is_slow = used, memory_gb * 4, slow
            machine.gpus = float(taken) if machine.machine_type == "g8" else 0.0
            if image:
                machine.record_image(image, 1.0, 1.0)
        else:
            known.append(make_machine(number, drawn))
        index.update(known[number])
    for machine in known[::5]:
        index.remove(machine)
    known = [machine for number, machine in enumerate(known) if number % 5]
    job_kind, rank = (wire.SERVICE, "critical") if service else (wire.ARRAY, "standard")
    job = spec(
        "j-000001",
        cores=cores,
        gpus=float(gpus),
        memory_gb=8.0,
        job_kind=job_kind,
        rank=rank,
        spot=spot,
    )
    for gpu_reservations in (None, GpuReservations(reserved_cores, 4.0)):
        found = index.sample_fitting(job, excluded_zones, gpu_reservations, SAMPLE_SIZE)
        expected = [
            machine
            for machine in known
            if can_hold_task(machine, job, gpu_reservations, excluded_zones)
        ]
        assert set(found) <= set(expected)
        assert len(found) == len(set(found))
        assert bool(found) == bool(expected)
        with_image = [machine for machine in expected if "img-1" in machine.images]
        if with_image:
            assert set(found) <= set(with_image)


def test_search_in_a_full_fleet_examines_only_machines_with_free_capacity() -> None:
    # A scheduling pass examined every machine of the fleet for each shape of pending tasks.
    index = MachineIndex(MACHINE_TYPES, random.Random(1))
    fleet = [
        Machine(f"n-{number}", "c16", "ab"[number % 2], spot=False, now=0.0)
        for number in range(4000)
    ]
    for number, machine in enumerate(fleet):
        machine.cores = 10.0 if number % 1000 == 7 else 15.0
        machine.record_image("img-1", 1.0, 40.0)
        index.update(machine)
    job = spec("j-000001", cores=5.0)
    found = index.sample_fitting(job, (), GpuReservations(), SAMPLE_SIZE)
    assert {machine.name for machine in found} == {
        f"n-{number}" for number in (7, 1007, 2007, 3007)
    }
    assert index.examined_count == 4
    assert (
        index.sample_fitting(spec("j-000002", cores=7.0), (), GpuReservations(), SAMPLE_SIZE) == []
    )
    assert index.examined_count == 4
    # In an empty fleet, a search examines a sample only, whatever the size of the fleet.
    for machine in fleet:
        machine.cores = 0.0
        index.update(machine)
    index.examined_count = 0
    assert len(index.sample_fitting(job, (), GpuReservations(), SAMPLE_SIZE)) == SAMPLE_SIZE
    assert index.examined_count <= SAMPLE_WIDENING_FACTOR * SAMPLE_SIZE


def test_search_skips_machines_that_become_unusable_without_an_update() -> None:
    # A machine that stops sending heartbeats causes no update of the index; its entry must not lead
    # to a placement there.
    unusable: set[Machine] = set()
    index = MachineIndex(MACHINE_TYPES, random.Random(1), lambda machine: machine not in unusable)
    unresponsive, responsive = (
        Machine(f"n-{number}", "c16", "a", spot=False, now=0.0) for number in range(2)
    )
    index.update(unresponsive)
    index.update(responsive)
    unusable.add(unresponsive)
    assert index.sample_fitting(spec("j-000001"), (), GpuReservations(), SAMPLE_SIZE) == [
        responsive
    ]
    assert list(index.iterate_allowed(spec("j-000001"), ())) == [(responsive, MACHINE_TYPES["c16"])]
    assert not index.update(unresponsive)
    assert unresponsive not in index
    unusable.clear()
    assert index.update(unresponsive)


# Packing

shapes = st.tuples(
    st.sampled_from((0.5, 2.0, 5.0)), st.sampled_from((0.0, 1.0, 4.0)), st.integers(0, 30)
)


@settings(max_examples=100, deadline=None)
@given(st.lists(shapes, min_size=1, max_size=5), machines)
def test_packing_result_is_the_same_without_full_bins(
    drawn: list[tuple[float, float, int]],
    drawn_machines: list[tuple],  # type: ignore[type-arg]
) -> None:
    # Dropping full bins saves time in large fleets; it must not change how many tasks are unplaced.
    gpu_reservations = GpuReservations(2.0, 8.0)

    def bins() -> list[Bin]:
        return [
            Bin(
                MACHINE_TYPES[machine_type],
                zone,
                16.0 - cores,
                float(8 - gpus),
                64.0 - 4 * memory_gb,
                spot=spot,
            )
            for machine_type, zone, spot, cores, gpus, memory_gb, _, _ in drawn_machines
        ]

    def demands() -> list[Demand]:
        sizes = [
            msgspec.structs.replace(batch("j-000001", 1), cores=cores, gpus=gpus)
            for cores, gpus, _ in drawn
        ]
        return [
            Demand(Shape.of(size), count, 60.0)
            for size, (_, _, count) in zip(sizes, drawn, strict=True)
        ]

    all_bins, without_full_bins = FreeCapacity(bins()), FreeCapacity(bins())
    without_full_bins.drop_full_bins(demands(), gpu_reservations)
    unplaced = [pack_demand(demand, all_bins, gpu_reservations) for demand in demands()]
    assert [
        pack_demand(demand, without_full_bins.copy(), gpu_reservations) for demand in demands()[:1]
    ] == unplaced[:1]
    assert [
        pack_demand(demand, without_full_bins, gpu_reservations) for demand in demands()
    ] == unplaced


def batch_with_memory(memory_gb: float) -> wire.Spec:
    return msgspec.structs.replace(batch("j-000001", 1), memory_gb=memory_gb)


def test_number_of_known_shapes_is_bounded() -> None:
    # With varying task sizes, each job added a shape that was kept indefinitely, and each new shape
    # was compared with all of them.
    known = ResourceShapes()
    for number in range(4 * MAX_SHAPES):
        job = batch_with_memory(16.0 + number / 100)
        known.record_shape(Shape.of(job), job)
    service = spec("j-900000", gpus=2.0, cores=8.0, memory_gb=4.0)
    known.record_shape(Shape.of(service), service)
    assert len(known._shapes_by_job_class["batch"]) == MAX_SHAPES
    last = batch_with_memory(16.0 + (4 * MAX_SHAPES - 1) / 100)
    assert known.is_typical(Shape.of(last))
    assert not known.is_typical(Shape.of(batch("j-000001", 1)))
    assert [shape.job_class for shape, _ in known.typical_shapes()] == ["batch", "gate"]
    # Reservations are those of the class with the highest mean, over the shapes that are kept.
    assert known.gpu_reservations.cores == 4.0
    mean = sum(16.0 + number / 100 for number in range(3 * MAX_SHAPES, 4 * MAX_SHAPES))
    assert abs(known.gpu_reservations.memory_gb - mean / MAX_SHAPES) < 1e-6


@pytest.mark.real_processes
@given(st.lists(st.tuples(st.sampled_from("xy"), st.integers(1, 9), st.floats(0, 50)), max_size=30))
def test_arrival_sums_equal_those_of_the_window(
    job_arrivals: list[tuple[str, int, float]],
) -> None:
    # The running sums must not drift from the jobs of the window as old ones are dropped.
    arrivals, jobs = ArrivalStatistics(10.0, 1.0), []
    for number, (job_class, tasks, run_s) in enumerate(job_arrivals):
        arrivals.record_arrival(job_class, tasks, run_s, float(number))
        jobs.append((float(number), job_class, tasks, run_s))
        now = number + 0.5
        recent = [
            (n, s)
            for arrived_at, of_class, n, s in jobs
            if of_class == job_class and arrived_at >= now - 10.0
        ]
        mean = sum(n * s for n, s in recent) / max(1, sum(n for n, _ in recent))
        assert abs(arrivals.mean_run_s(job_class, now) - mean) < 1e-6
        assert arrivals.max_tasks_per_job(job_class, now) == max(n for n, _ in recent)


# Relay batches


def report(number: int) -> dict[str, object]:
    body = msgspec.msgpack.encode([f"j-{number:06d}/{task}" for task in range(9)])
    return {"k": "rep", "t": 1, "m": f"n-{number:06d}", "b": body}


def test_frames_that_exceed_a_batch_are_sent_in_later_ones_in_order() -> None:
    # The oldest frames that did not fit into a batch were dropped: reports of most of the 2,000
    # machines of a partitioned zone never arrived, and commands were lost with them.
    max_bytes = 7000
    frames = [report(number) for number in range(2000)]
    delivered: list[str] = []
    batches = 0
    while frames:
        text, count = encode_batch(frames, max_bytes, 1.0)
        assert count > 0
        assert len(text) <= max_bytes
        at, found = decode_batch(text)
        assert at == 1.0
        assert found == frames[:count]
        delivered += [str(frame["m"]) for frame in found]
        frames = frames[count:]
        batches += 1
    assert delivered == [f"n-{number:06d}" for number in range(2000)]
    assert batches < 40


def test_batch_stays_within_the_size_that_can_be_decoded() -> None:
    # Long frames of one repeated byte compress well, but the decoder limits the inflated size.
    frames = [
        {"k": "rep", "m": f"n-{number}", "b": b"x" * LONG_BODY_BYTES} for number in range(100)
    ]
    text, count = encode_batch(frames, 7000, 1.0)
    assert 0 < count <= MAX_INFLATED_BYTES // LONG_BODY_BYTES
    assert decode_batch(text) == (1.0, frames[:count])


def test_frame_larger_than_a_batch_does_not_block_others() -> None:
    # A frame that fits into no batch must be dropped, or frames queued behind it are never sent. Of
    # a machine's heartbeats only the newest may stay queued, and outdated requests must be dropped.
    noise = random.Random(1).randbytes(9000)
    assert encode_batch([{"k": "ord", "o": noise}], 7000, 1.0)[1] == 0
    cluster = SimulatedCluster()
    assert cluster.run_until(lambda: cluster.leader() is not None, 10)
    sender = cluster.nodes["hearth-0"].peers.relay
    assert sender is not None
    sender.enqueue("hearth-1", {"k": "ord", "o": noise})
    sender.enqueue("hearth-1", {"k": "rep", "m": "n-1", "b": b"new"})
    sender.enqueue("hearth-1", {"k": "rep", "m": "n-1", "b": b"newer"})
    sender.enqueue("hearth-1", {"k": "hb"})
    relay = sender._relays["hearth-1"]
    assert [frame["k"] for frame in relay.queue.list_by_urgency()] == ["hb", "ord", "rep"]
    relay.written_version = 0
    sender._write("hearth-1", relay)
    assert [frame.get("b") for frame in relay.queue.list_by_urgency()] == [b"newer"]
    sender.enqueue("hearth-1", {"k": "ask", "i": 1})
    relay.queue.drop_queued_before(cluster.sim.time + 1.0)
    assert [frame["k"] for frame in relay.queue.list_by_urgency()] == ["rep"]
    relay.queue.clear()
    assert not relay.queue.has_frames


# Machine lists of the cloud


def test_machine_lists_of_the_cloud_do_not_overlap_and_leave_it_half_the_time() -> None:
    # With 6,000 machines, a list takes twelve calls and longer than the interval between two lists,
    # so that lists were requested faster than they completed. The next one must start only after as
    # much time as the last one took, so that other calls get half of the rate.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    reconciler = cluster.nodes[cluster.leader() or ""].leader.duties.reconciler
    list_calls: list[tuple[float, Callable[[object], None]]] = []
    reconciler.cloud.list_machines = lambda on_done: list_calls.append((cluster.sim.time, on_done))
    cluster.run(30.0)
    assert len(list_calls) == 1
    called_at, done = list_calls[0]
    duration_s = cluster.sim.time - called_at
    done(None)
    finished_at = cluster.sim.time
    cluster.run(duration_s - 1.0)
    assert len(list_calls) == 1
    cluster.run(8.0)
    assert len(list_calls) == 2
    assert list_calls[1][0] >= finished_at + duration_s


# Settings


def test_settings_file_of_the_largest_deployment_is_valid(tmp_path: Path) -> None:
    # Guards against limits of the settings parser that the largest deployment exceeds.
    cluster = SimulatedCluster(nodes=tuple(f"hearth-{number}" for number in range(27)))
    settings_of_one = cluster.build_settings("hearth-0")
    teams = {f"t-{n}": Team(f"t-{n}", 10.0, 20.0, 1.0, 2.0) for n in range(750)}
    zones = tuple(f"zone-{number}" for number in range(23))
    large = dataclasses.replace(
        settings_of_one, teams=teams, zones=zones, zone=zones[0], max_sockets=24_000
    )
    path = tmp_path / "node.toml"
    path.write_text(settings_text(large))
    read = parse(read_toml(str(path)))
    assert (len(read.teams), len(read.zones), len(read.peers)) == (750, 23, 26)
    assert read.max_sockets == 24_000


# Open files


def write_settings(folder: Path, sockets: int) -> str:
    cluster = SimulatedCluster()
    path = folder / "node.toml"
    node_settings = dataclasses.replace(cluster.build_settings("hearth-0"), max_sockets=sockets)
    path.write_text(settings_text(node_settings))
    return str(path)


def test_check_reports_more_sockets_than_open_files_allow_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    # A socket limit above the limit of open files must fail the check, not the controller later.
    monkeypatch.setattr(open_files.resource, "getrlimit", lambda _: (256, 1024))
    assert main(["check", "--config", write_settings(tmp_path, 1025)]) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert "params.limits.max_sockets: 1025 sockets need 1057 open files" in output.err
    assert len(output.err.splitlines()) == 1
    assert main(["check", "--config", write_settings(tmp_path, 900)]) == 0


def test_controller_limits_its_sockets_to_the_open_files_it_may_have(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A controller must raise its soft limit of open files as far as it may, and use fewer sockets
    # if that is not enough.
    limits = [256, 1024]
    monkeypatch.setattr(open_files.resource, "getrlimit", lambda _: tuple(limits))
    monkeypatch.setattr(
        open_files.resource, "setrlimit", lambda _, new: limits.__setitem__(0, new[0])
    )
    assert open_files.raise_limit(200) == 200
    assert limits[0] == 256
    assert open_files.raise_limit(900) == 900
    assert limits[0] == 900
    assert open_files.raise_limit(5000) == 1024
    node_settings = dataclasses.replace(
        SimulatedCluster().build_settings("hearth-0"), max_sockets=5000
    )
    assert (
        controller_commands._limit_sockets_to_open_files(node_settings).max_sockets
        == 1024 - open_files.NON_SOCKET_FILES
    )
    assert (
        controller_commands._limit_sockets_to_open_files(
            dataclasses.replace(node_settings, max_sockets=700)
        ).max_sockets
        == 700
    )


# Reports


def test_unchanged_report_is_reconciled_only_while_a_command_is_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Reconciling each unchanged report costs time in proportion to the fleet; skipping one while a
    # stop command is open would lose the stop.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    cluster.run(5.0)
    compared: list[str] = []
    reconcile = Reconciler.reconcile

    def record_reconcile(
        reconciler: Reconciler, machine: Machine, tasks: list[wire.TaskStatus]
    ) -> None:
        compared.append(machine.name)
        reconcile(reconciler, machine, tasks)

    monkeypatch.setattr(Reconciler, "reconcile", record_reconcile)
    cluster.run(10.0)
    assert compared == []
    # The stop command is lost: the reports stay the same, and the command must be sent again.
    machine = cluster.find_machine("j-000001/0")
    cluster.inject_machine_fault("deaf", [machine], 4.0)
    cluster.cancel("j-000001")
    cluster.run(2.0)
    assert "j-000001" not in cluster.reported_cancelled_at
    assert machine in compared
    assert cluster.run_until(lambda: "j-000001" in cluster.reported_cancelled_at, 20)
    assert cluster.count("j-000001") == 0
    assert "j-000001/0" not in cluster.running


def test_open_connection_count_follows_connects_and_disconnects() -> None:
    # The connections of all clients were counted for each call to a machine without one. The count
    # that is kept instead must follow every connect, disconnect and failed connect.
    sim = Simulation(1)

    def reply(request: Request) -> None:
        request.reply(200, {})

    for number in range(5):
        Server(sim.host(f"10.1.0.{number}"), (f"10.1.0.{number}", 9000), reply, 10, 300.0, 0.2)
    host, statuses = sim.host("10.0.0.1"), []
    connections = OpenConnections()
    clients = [Client(host, (f"10.1.0.{number}", 9000), 2, connections) for number in range(6)]

    def count_open_streams() -> int:
        return sum(stream.opened and not stream.is_closed for stream in host.streams)

    for client in clients:
        for _ in range(3):
            client.request("GET", "/x", None, 2.0, lambda reply: statuses.append(reply.status))
    assert connections.count == 12
    while sim.next_time() < 5.0:
        sim.step()
    # There is no server at the last address.
    assert sorted(statuses) == [0] * 3 + [200] * 15
    assert connections.count == count_open_streams() == 10
    sim.crash("10.1.0.0")
    clients[1].close()
    while sim.next_time() < 6.0:
        sim.step()
    assert connections.count == count_open_streams() == 6


# Finished jobs


ids = st.from_regex(r"j-[0-9]{1,18}", fullmatch=True)


@settings(max_examples=60, deadline=None)
@given(
    st.dictionaries(ids, st.sampled_from((wire.DONE, wire.ABORTED)), max_size=60),
    st.lists(ids, max_size=10),
    st.integers(1, 7),
    st.integers(1, 40),
)
def test_terminal_jobs_match_a_plain_dict(
    known: dict[str, str], others: list[str], max_recent: int, max_merged_block: int
) -> None:
    # The compact store merges blocks of job ids; no state may be lost or changed by that.
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(terminal_jobs, "_MAX_RECENT_STAGES", max_recent)
        patch.setattr(terminal_jobs, "_MAX_MERGED_BLOCK_STAGES", max_merged_block)
        states = terminal_jobs.TerminalJobs()
        for ref, state in known.items():
            states.add(ref, state)
            states.add(ref, state)
        assert len(states) == len(known)
        assert {ref: states.get(ref) for ref in states} == known
        assert all(states.get(ref) == known.get(ref) for ref in others)
        page = terminal_jobs.TerminalJobPage()
        for ref in known:
            page.add(ref)
        assert list(page) == list(known)


@pytest.mark.parametrize(
    "text",
    ["", "j-", "j-1_2", "j- 12", "j-+12", "x-12", "j-12 ", "j-\u0661\u0662", "j-" + "1" * 19],
)
def test_text_that_is_no_job_id_has_no_final_state(text: str) -> None:
    # Users may request any text; one that parses as the same number is not the same id.
    states = terminal_jobs.TerminalJobs()
    states.add("j-12", wire.DONE)
    assert states.get("j-12") == wire.DONE
    assert states.get("j-012") is None
    assert states.get(text) is None
    with pytest.raises(ValueError, match="not a job id"):
        states.add(text, wire.DONE)


def test_terminal_jobs_take_less_than_25_bytes_each() -> None:
    # A string and a dict entry per finished job took 99 bytes indefinitely, so that a day's jobs of
    # 4,000 machines filled the memory of a controller.
    tracemalloc.start()
    states, page = terminal_jobs.TerminalJobs(), terminal_jobs.TerminalJobPage()
    for number in range(100_000):
        ref = f"j-{number:06d}"
        states.add(ref, wire.ABORTED if number % 50 == 0 else wire.DONE)
        page.add(ref)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(states) == 100_000
    assert states.get("j-050000") == wire.ABORTED
    assert states.get("j-050001") == wire.DONE
    assert states.get("j-100000") is None
    assert used < 25 * 100_000, used


def test_request_for_an_unknown_job_id_returns_404() -> None:
    # A text that is no id, or resembles the id of a finished job, must not raise or match.
    cluster = SimulatedCluster()
    cluster.submit(batch("j-000001", 1), run_time=1.0)
    cluster.run(40.0)
    assert cluster.query_job("j-000001")[1]["stage"] == "done"
    for text in ("j-1_0", "j-1", "j-0000001", "nothing"):
        assert cluster.query_job(text)[0] == 404
    assert cluster.query_job("j-000001")[1]["stage"] == "done"
