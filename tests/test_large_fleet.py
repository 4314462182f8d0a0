"""Parts that must not grow with the fleet: searches, packing, mail, the cloud's list."""

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
from flaxtally.planning.forecast import Arrivals
from flaxtally.planning.machine_index import MachineIndex
from flaxtally.planning.packing import Bin, Demand, FreeCapacity, pack_demand
from flaxtally.planning.placement import WIDEN, GpuNeeds, allowed, leaves_gpus_usable, room
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

KINDS = {kind.name: kind for kind in TYPES}
SAMPLE = 24
LONG = 60_000
"""Bytes: nearly the longest body."""


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


def make(number: int, drawn: tuple) -> Machine:  # type: ignore[type-arg]
    kind, zone, spot, cores, gpus, memory_gb, slow, image = drawn
    machine = Machine(f"n-{number}", kind, zone, spot=spot, now=0.0)
    machine.cores, machine.memory_gb, machine.is_slow = cores, memory_gb * 4, slow
    machine.gpus = float(gpus) if kind == "g8" else 0.0
    if image:
        machine.record_image(image, 1.0, 40.0)
    return machine


def fits(machine: Machine, job: wire.Spec, needs: GpuNeeds | None, shut: frozenset[str]) -> bool:
    """What the index must find, machine by machine."""
    kind = KINDS[machine.machine_type]
    left = room(machine, kind)
    return (
        machine.zone not in shut
        and allowed(job, kind, machine.zone, machine.spot)
        and left.holds(job)
        and (job.job_kind == wire.SERVICE or needs is None or not machine.is_slow)
        and (needs is None or leaves_gpus_usable(job, left, kind, needs))
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
def test_the_index_finds_a_machine_just_when_there_is_one(
    before: list[tuple],  # type: ignore[type-arg]
    after: list[tuple],  # type: ignore[type-arg]
    gpus: int,
    kept: float,
    cores: float,
    spot: bool,
    service: bool,
    shut: frozenset[str],
) -> None:
    rng = random.Random(1)
    index = MachineIndex(KINDS, rng)
    known = [make(number, drawn) for number, drawn in enumerate(before)]
    for machine in known:
        index.update(machine)
    # What is known of them changes, some go, some are new.
    for number, drawn in enumerate(after):
        if number < len(known):
            _, _, _, used, taken, memory_gb, slow, image = drawn
            machine = known[number]
            machine.cores, machine.memory_gb, machine.is_slow = used, memory_gb * 4, slow
            machine.gpus = float(taken) if machine.machine_type == "g8" else 0.0
            if image:
                machine.record_image(image, 1.0, 1.0)
        else:
            known.append(make(number, drawn))
        index.update(known[number])
    for machine in known[::5]:
        index.remove(machine)
    known = [machine for number, machine in enumerate(known) if number % 5]
    kind, rank = (wire.SERVICE, "critical") if service else (wire.ARRAY, "standard")
    job = spec(
        "j-000001",
        cores=cores,
        gpus=float(gpus),
        memory_gb=8.0,
        job_kind=kind,
        rank=rank,
        spot=spot,
    )
    for needs in (None, GpuNeeds(kept, 4.0)):
        found = index.fitting(job, shut, needs, SAMPLE)
        right = [machine for machine in known if fits(machine, job, needs, shut)]
        assert set(found) <= set(right)
        assert len(found) == len(set(found))
        assert bool(found) == bool(right)
        holding = [machine for machine in right if "img-1" in machine.images]
        if holding:
            assert set(found) <= set(holding)


def test_a_search_in_a_full_fleet_of_thousands_looks_at_the_few_with_room() -> None:
    # A pass looked at every machine for each shape that waited.
    index = MachineIndex(KINDS, random.Random(1))
    fleet = [
        Machine(f"n-{number}", "c16", "ab"[number % 2], spot=False, now=0.0)
        for number in range(4000)
    ]
    for number, machine in enumerate(fleet):
        machine.cores = 10.0 if number % 1000 == 7 else 15.0
        machine.record_image("img-1", 1.0, 40.0)
        index.update(machine)
    job = spec("j-000001", cores=5.0)
    found = index.fitting(job, (), GpuNeeds(), SAMPLE)
    assert {machine.name for machine in found} == {
        f"n-{number}" for number in (7, 1007, 2007, 3007)
    }
    assert index.looked == 4
    assert index.fitting(spec("j-000002", cores=7.0), (), GpuNeeds(), SAMPLE) == []
    assert index.looked == 4
    # An empty one: a sample, whatever the size.
    for machine in fleet:
        machine.cores = 0.0
        index.update(machine)
    index.looked = 0
    assert len(index.fitting(job, (), GpuNeeds(), SAMPLE)) == SAMPLE
    assert index.looked <= WIDEN * SAMPLE


def test_what_falls_silent_without_an_event_is_not_found() -> None:
    silent: set[Machine] = set()
    index = MachineIndex(KINDS, random.Random(1), lambda machine: machine not in silent)
    one, two = (Machine(f"n-{number}", "c16", "a", spot=False, now=0.0) for number in range(2))
    index.update(one)
    index.update(two)
    silent.add(one)
    assert index.fitting(spec("j-000001"), (), GpuNeeds(), SAMPLE) == [two]
    assert list(index.walk(spec("j-000001"), ())) == [(two, KINDS["c16"])]
    assert not index.update(one)
    assert one not in index
    silent.clear()
    assert index.update(one)


# Packing

shapes = st.tuples(
    st.sampled_from((0.5, 2.0, 5.0)), st.sampled_from((0.0, 1.0, 4.0)), st.integers(0, 30)
)


@settings(max_examples=100, deadline=None)
@given(st.lists(shapes, min_size=1, max_size=5), machines)
def test_full_rooms_that_are_left_out_hold_nothing(
    drawn: list[tuple[float, float, int]],
    drawn_machines: list[tuple],  # type: ignore[type-arg]
) -> None:
    needs = GpuNeeds(2.0, 8.0)

    def bins() -> list[Bin]:
        return [
            Bin(KINDS[kind], zone, 16.0 - cores, float(8 - gpus), 64.0 - 4 * memory_gb, spot=spot)
            for kind, zone, spot, cores, gpus, memory_gb, _, _ in drawn_machines
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

    whole, less = FreeCapacity(bins()), FreeCapacity(bins())
    less.drop_full_bins(demands(), needs)
    left = [pack_demand(demand, whole, needs) for demand in demands()]
    assert [pack_demand(demand, less.copy(), needs) for demand in demands()[:1]] == left[:1]
    assert [pack_demand(demand, less, needs) for demand in demands()] == left


def with_ram(memory_gb: float) -> wire.Spec:
    return msgspec.structs.replace(batch("j-000001", 1), memory_gb=memory_gb)


def test_shapes_that_vary_freely_are_kept_in_bounds() -> None:
    # Where sizes vary, every job had a shape of its own, for ever, and each new one had all of them
    # looked at.
    known = ResourceShapes()
    for number in range(4 * MAX_SHAPES):
        job = with_ram(16.0 + number / 100)
        known.record_shape(Shape.of(job), job)
    gate = spec("j-900000", gpus=2.0, cores=8.0, memory_gb=4.0)
    known.record_shape(Shape.of(gate), gate)
    assert len(known._job_classes["batch"]) == MAX_SHAPES
    last = with_ram(16.0 + (4 * MAX_SHAPES - 1) / 100)
    assert known.is_typical(Shape.of(last))
    assert not known.is_typical(Shape.of(batch("j-000001", 1)))
    assert [shape.job_class for shape, _ in known.typical_shapes()] == ["batch", "gate"]
    # Of the class that takes most on average, as of the shapes that are kept.
    assert known.gpu_reservations.cores == 4.0
    mean = sum(16.0 + number / 100 for number in range(3 * MAX_SHAPES, 4 * MAX_SHAPES))
    assert abs(known.gpu_reservations.memory_gb - mean / MAX_SHAPES) < 1e-6


@pytest.mark.real_processes
@given(st.lists(st.tuples(st.sampled_from("xy"), st.integers(1, 9), st.floats(0, 50)), max_size=30))
def test_the_sums_of_recent_arrivals_are_those_of_the_window(
    came: list[tuple[str, int, float]],
) -> None:
    arrivals, jobs = Arrivals(10.0, 1.0), []
    for number, (job_class, tasks, length) in enumerate(came):
        arrivals.note(job_class, tasks, length, float(number))
        jobs.append((float(number), job_class, tasks, length))
        now = number + 0.5
        recent = [(n, s) for at, of, n, s in jobs if of == job_class and at >= now - 10.0]
        mean = sum(n * s for n, s in recent) / max(1, sum(n for n, _ in recent))
        assert abs(arrivals.length(job_class, now) - mean) < 1e-6
        assert arrivals.largest(job_class, now) == max(n for n, _ in recent)


# Mail


def report(number: int) -> dict[str, object]:
    body = msgspec.msgpack.encode([f"j-{number:06d}/{task}" for task in range(9)])
    return {"k": "rep", "t": 1, "m": f"n-{number:06d}", "b": body}


def test_what_does_not_fit_into_a_batch_waits_and_each_machine_gets_its_turn() -> None:
    # The oldest frames of what did not fit were dropped: of 2,000 machines of a cut-off zone most
    # were never heard, and orders were lost with the reports.
    most = 7000
    frames = [report(number) for number in range(2000)]
    heard: list[str] = []
    batches = 0
    while frames:
        text, count = encode_batch(frames, most, 1.0)
        assert count > 0
        assert len(text) <= most
        at, found = decode_batch(text)
        assert at == 1.0
        assert found == frames[:count]
        heard += [str(frame["m"]) for frame in found]
        frames = frames[count:]
        batches += 1
    assert heard == [f"n-{number:06d}" for number in range(2000)]
    assert batches < 40


def test_a_batch_can_be_read_whatever_its_frames_hold() -> None:
    # Long frames of one letter are short when compressed; the reader takes no more than so much.
    frames = [{"k": "rep", "m": f"n-{number}", "b": b"x" * LONG} for number in range(100)]
    text, count = encode_batch(frames, 7000, 1.0)
    assert 0 < count <= MAX_INFLATED_BYTES // LONG
    assert decode_batch(text) == (1.0, frames[:count])


def test_a_frame_that_fits_no_batch_is_told_and_holds_up_no_other() -> None:
    noise = random.Random(1).randbytes(9000)
    assert encode_batch([{"k": "ord", "o": noise}], 7000, 1.0)[1] == 0
    cluster = SimulatedCluster()
    assert cluster.run_until(lambda: cluster.leader() is not None, 10)
    one = cluster.nodes["hearth-0"].peers.relay
    assert one is not None
    one.enqueue("hearth-1", {"k": "ord", "o": noise})
    one.enqueue("hearth-1", {"k": "rep", "m": "n-1", "b": b"new"})
    one.enqueue("hearth-1", {"k": "rep", "m": "n-1", "b": b"newer"})
    one.enqueue("hearth-1", {"k": "hb"})
    relay = one._relays["hearth-1"]
    assert [frame["k"] for frame in relay.queue.list_by_urgency()] == ["hb", "ord", "rep"]
    relay.written_version = 0
    one._write("hearth-1", relay)
    assert [frame.get("b") for frame in relay.queue.list_by_urgency()] == [b"newer"]
    one.enqueue("hearth-1", {"k": "ask", "i": 1})
    relay.queue.drop_queued_before(cluster.sim.time + 1.0)
    assert [frame["k"] for frame in relay.queue.list_by_urgency()] == ["rep"]
    relay.queue.clear()
    assert not relay.queue.has_frames


# The cloud's list


def test_one_list_of_the_cloud_at_a_time_and_half_the_calls_for_others() -> None:
    # At 6,000 machines a list is twelve calls, and took longer than the step between two: lists
    # were asked for faster than they came.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    reconciler = cluster.nodes[cluster.leader() or ""].leader.duties.reconciler
    asked: list[tuple[float, Callable[[object], None]]] = []
    reconciler.cloud.list_machines = lambda on_done: asked.append((cluster.sim.time, on_done))
    cluster.run(30.0)
    assert len(asked) == 1
    began, done = asked[0]
    took = cluster.sim.time - began
    done(None)
    ended = cluster.sim.time
    cluster.run(took - 1.0)
    assert len(asked) == 1
    cluster.run(8.0)
    assert len(asked) == 2
    assert asked[1][0] >= ended + took


# Settings


def test_a_settings_file_of_the_largest_deployment_is_sound(tmp_path: Path) -> None:
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
    settings = dataclasses.replace(cluster.build_settings("hearth-0"), max_sockets=sockets)
    path.write_text(settings_text(settings))
    return str(path)


def test_more_sockets_than_the_process_may_open_are_one_line_and_exit_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(open_files.resource, "getrlimit", lambda _: (256, 1024))
    assert main(["check", "--config", write_settings(tmp_path, 1025)]) == 2
    said = capsys.readouterr()
    assert said.out == ""
    assert "params.limits.max_sockets: 1025 sockets need 1057 open files" in said.err
    assert len(said.err.splitlines()) == 1
    assert main(["check", "--config", write_settings(tmp_path, 900)]) == 0


def test_a_controller_takes_what_files_it_may_and_does_with_fewer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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
    settings = dataclasses.replace(SimulatedCluster().build_settings("hearth-0"), max_sockets=5000)
    assert (
        controller_commands._limit_sockets_to_open_files(settings).max_sockets
        == 1024 - open_files.NON_SOCKET_FILES
    )
    assert (
        controller_commands._limit_sockets_to_open_files(
            dataclasses.replace(settings, max_sockets=700)
        ).max_sockets
        == 700
    )


# Reports


def test_a_report_like_the_last_one_is_compared_only_while_something_is_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    assert cluster.run_until(lambda: cluster.count("j-000001") == 2, 60)
    cluster.run(5.0)
    compared: list[str] = []
    compare = Reconciler.reconcile

    def counted(reconciler: Reconciler, machine: Machine, tasks: list[wire.TaskStatus]) -> None:
        compared.append(machine.name)
        compare(reconciler, machine, tasks)

    monkeypatch.setattr(Reconciler, "reconcile", counted)
    cluster.run(10.0)
    assert compared == []
    # Its order to stop is lost: the reports go on as before, and the stop must be sent again.
    machine = cluster.find_machine("j-000001/0")
    cluster.inject_machine_fault("deaf", [machine], 4.0)
    cluster.cancel("j-000001")
    cluster.run(2.0)
    assert "j-000001" not in cluster.reported_cancelled_at
    assert machine in compared
    assert cluster.run_until(lambda: "j-000001" in cluster.reported_cancelled_at, 20)
    assert cluster.count("j-000001") == 0
    assert "j-000001/0" not in cluster.running


def test_connections_to_workers_are_counted_as_they_come_and_go() -> None:
    # Their number was summed over all clients for each call to a machine that had none.
    sim = Simulation(1)

    def reply(request: Request) -> None:
        request.reply(200, {})

    for number in range(5):
        Server(sim.host(f"10.1.0.{number}"), (f"10.1.0.{number}", 9000), reply, 10, 300.0, 0.2)
    host, told = sim.host("10.0.0.1"), []
    opened = OpenConnections()
    clients = [Client(host, (f"10.1.0.{number}", 9000), 2, opened) for number in range(6)]

    def standing() -> int:
        return sum(stream.opened and not stream.is_closed for stream in host.streams)

    for client in clients:
        for _ in range(3):
            client.request("GET", "/x", None, 2.0, lambda reply: told.append(reply.status))
    assert opened.count == 12
    while sim.next_time() < 5.0:
        sim.step()
    # Nobody listens at the last address.
    assert sorted(told) == [0] * 3 + [200] * 15
    assert opened.count == standing() == 10
    sim.crash("10.1.0.0")
    clients[1].close()
    while sim.next_time() < 6.0:
        sim.step()
    assert opened.count == standing() == 6


# Jobs that are over


ids = st.from_regex(r"j-[0-9]{1,18}", fullmatch=True)


@settings(max_examples=60, deadline=None)
@given(
    st.dictionaries(ids, st.sampled_from((wire.DONE, wire.ABORTED)), max_size=60),
    st.lists(ids, max_size=10),
    st.integers(1, 7),
    st.integers(1, 40),
)
def test_final_states_are_those_of_a_plain_dict(
    known: dict[str, str], others: list[str], recent: int, most: int
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(terminal_jobs, "_MAX_RECENT", recent)
        patch.setattr(terminal_jobs, "_MAX_MERGED_BLOCK", most)
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
def test_what_is_no_id_has_no_final_state(text: str) -> None:
    # Users ask for anything; a text that reads as the same number is not the same id.
    states = terminal_jobs.TerminalJobs()
    states.add("j-12", wire.DONE)
    assert states.get("j-12") == wire.DONE
    assert states.get("j-012") is None
    assert states.get(text) is None
    with pytest.raises(ValueError, match="no job's id"):
        states.add(text, wire.DONE)


def test_a_hundred_thousand_final_jobs_take_a_few_bytes_each() -> None:
    # A text and an entry for each took 99 bytes for ever: a day of 4,000 machines filled a
    # controller.
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


def test_any_text_may_be_asked_for() -> None:
    cluster = SimulatedCluster()
    cluster.submit(batch("j-000001", 1), run_time=1.0)
    cluster.run(40.0)
    assert cluster.query_job("j-000001")[1]["stage"] == "done"
    for text in ("j-1_0", "j-1", "j-0000001", "nothing"):
        assert cluster.query_job(text)[0] == 404
    assert cluster.query_job("j-000001")[1]["stage"] == "done"
