"""Tests of the emulator's modules: load, hollow workers, history, limits, fits, messages."""

from __future__ import annotations

import logging
import random
import socket
import tomllib
from itertools import pairwise
from typing import TYPE_CHECKING

import msgspec
import pytest

from flaxtally.cells.map import CellIndex, read_file
from flaxtally.cli import main
from flaxtally.cluster.frame_codec import encode_frame
from flaxtally.emulator import limits
from flaxtally.emulator.controller_settings import create_settings, render_deploy_file
from flaxtally.emulator.coordinator import Coordinator
from flaxtally.emulator.fake_environment import RemoteCloud
from flaxtally.emulator.fit import fit
from flaxtally.emulator.history import History
from flaxtally.emulator.hollow_worker import MIN_REPORT_INTERVAL_S, HollowWorker
from flaxtally.emulator.load import Load, format_ref
from flaxtally.emulator.messages import (
    ENDED,
    POLL_REPLY,
    STARTED,
    SUBMIT_REPLY,
    SUBMITTED,
    Channel,
    Event,
    Message,
    RemoveMachines,
)
from flaxtally.emulator.plan import CPU_TYPE, HOST, URGENT_CLASS, Plan
from flaxtally.emulator.results import (
    Percentiles,
    PhaseResult,
    ProcessUse,
    SizeResult,
    compute_percentiles,
    evaluate_aims,
)
from flaxtally.emulator.scale import ScaleResult, combine, save
from flaxtally.fakes.key_value_store import FakeKeyValueStore
from flaxtally.fakes.settings_text import settings_text
from flaxtally.protocol import wire
from flaxtally.runtime.http import Client, Reply, Request, Server
from flaxtally.runtime.loop import Loop
from flaxtally.runtime.token_bucket import TokenBucket
from flaxtally.settings import parse

from .simulation import Host, Simulation
from .test_sockets import run_for

if TYPE_CHECKING:
    from pathlib import Path

PLAN = Plan(workers=60, seed=3)


# The load


def test_the_load_depends_on_the_seed_alone() -> None:
    """Processes would disagree on a job if it depended on the order in which they generate jobs."""
    numbers = range(1, 200)
    first = [Load(PLAN).job(number) for number in numbers]
    assert first == [Load(PLAN).job(number) for number in reversed(numbers)][::-1]
    other = msgspec.structs.replace(PLAN, seed=4)
    assert first != [Load(other).job(number) for number in numbers]


def test_the_load_has_the_ratios_of_the_expected_fleet() -> None:
    """A load with other ratios per worker would give figures that can't be extrapolated."""
    plan = Plan(workers=2000)
    load = Load(plan)
    replicas = load.service_replica_count / plan.workers
    assert replicas == pytest.approx(9.5 * 0.6, rel=0.05)
    until = 400.0
    tasks, busy = 0, 0.0
    for at, number in load.generate_arrivals():
        if at > until:
            break
        job = load.job(number)
        tasks += job.spec.tasks
        busy += job.spec.tasks * (job.run_s or 0.0)
    assert tasks / until / plan.workers == pytest.approx(0.38, rel=0.1)
    assert busy / until / plan.workers == pytest.approx(9.5 * 0.4, rel=0.1)


@pytest.mark.parametrize("cells", [1, 2])
def test_a_controller_reads_back_the_settings_that_are_written_for_it(cells: int) -> None:
    """A rendered file that parses to other settings would start controllers unlike the plan."""
    plan = msgspec.structs.replace(PLAN, cells=cells, zones=4)
    for number, name in enumerate(plan.nodes):
        written = create_settings(plan, number)
        assert parse(tomllib.loads(settings_text(written))) == written
        assert written.node == name
        assert set(written.peers) == set(plan.nodes) - {name}
    states = {create_settings(plan, number).state for number in range(len(plan.nodes))}
    assert len(states) == cells


def test_the_cells_of_a_plan_own_all_its_zones_and_controllers(tmp_path: Path) -> None:
    """A zone or controller outside the deploy file's cells would never be served."""
    plan = msgspec.structs.replace(PLAN, cells=2, zones=4)
    path = tmp_path / "cells.toml"
    path.write_text(render_deploy_file(plan))
    found = read_file(str(path))
    assert found.state == plan.shared_state
    index = CellIndex(found.map)
    assert set(index.by_zone) == set(plan.zone_names)
    assert set(index.by_controller) == set(plan.nodes)
    for number, name in enumerate(plan.nodes):
        assert index.by_controller[name] == index.by_zone[plan.zone_of_node(number)]


# Hollow workers


class Controller:
    """Replies to a worker's heartbeats with the fencing token and records when they arrived."""

    def __init__(self, sim: Simulation, plan: Plan) -> None:
        self._sim = sim
        self.reports: list[tuple[float, wire.Heartbeat]] = []
        self.commands: list[wire.Command] = []
        host = sim.host(HOST)
        for address in plan.node_addresses.values():
            Server(host, address, self._reply, 100, 100.0, 0.2)

    def _reply(self, request: Request) -> None:
        report = msgspec.msgpack.decode(request.body, type=wire.Heartbeat)
        self.reports.append((self._sim.time, report))
        commands, self.commands = self.commands, []
        request.reply(200, wire.HeartbeatReply(1, commands))


def create_worker(sim: Simulation, events: list[str], number: int = 0) -> HollowWorker:
    plan, machine = PLAN, PLAN.machines[number]
    return HollowWorker(
        sim.host("127.1.0.1"),
        plan,
        Load(plan),
        machine,
        plan.worker_address(number),
        lambda event, _, task, attempt: events.append(f"{event} {task} {attempt}"),
        lambda _: None,
        random.Random(1),
    )


def compute_report_gaps(controller: Controller) -> list[float]:
    times = [at for at, _ in controller.reports]
    return [later - earlier for earlier, later in pairwise(times)]


def test_a_change_is_reported_at_once_but_not_more_often_than_the_protocol_allows() -> None:
    """Many changes in a row must neither exceed the protocol's rate nor postpone the report."""
    sim, events = Simulation(1), list[str]()
    controller = Controller(sim, PLAN)
    worker = create_worker(sim, events)
    run_for(sim, 10.0)
    assert all(
        0.7 * PLAN.report_s < gap < 1.3 * PLAN.report_s
        for gap in compute_report_gaps(controller)[1:]
    )
    before = len(controller.reports)
    for number in range(60):
        sim.at(sim.time + number * 0.05, worker.report_soon)
    began = sim.time
    run_for(sim, 3.0)
    changes = controller.reports[before:]
    assert changes[0][0] - began < MIN_REPORT_INTERVAL_S + 0.1
    # Frequent changes don't postpone the report: one arrives every half second.
    assert len(changes) >= 5
    assert min(compute_report_gaps(controller)) > MIN_REPORT_INTERVAL_S - 0.05


def test_a_disconnected_worker_loses_its_tasks_at_lease_expiry_and_begins_a_new_session() -> None:
    """Tasks that outlived the lease would run twice: the leader starts them on other machines."""
    sim, events = Simulation(1), list[str]()
    controller = Controller(sim, PLAN)
    worker = create_worker(sim, events)
    task = f"{format_ref(1)}/0"
    controller.commands = [wire.launch(task, 1)]
    run_for(sim, 10.0)
    assert events == [f"start {task} 1"]
    worker.disconnect(1.5 * PLAN.lease_s)
    run_for(sim, 1.4 * PLAN.lease_s)
    assert events == [f"start {task} 1", f"end lapsed {task} 1"]
    run_for(sim, PLAN.lease_s)
    assert controller.reports[-1][1].incarnation == 2
    assert controller.reports[-1][1].tasks == []


def test_a_worker_that_restarts_reports_a_new_session_without_tasks() -> None:
    """A restart that keeps the session would hide from the leader that the tasks are lost."""
    sim, events = Simulation(1), list[str]()
    controller = Controller(sim, PLAN)
    worker = create_worker(sim, events)
    controller.commands = [wire.launch(f"{format_ref(1)}/0", 1)]
    run_for(sim, 10.0)
    worker.restart()
    run_for(sim, 1.0)
    report = controller.reports[-1][1]
    assert (report.incarnation, report.tasks) == (2, [])


def test_an_image_is_fetched_once_for_all_tasks_that_wait_for_it() -> None:
    """A second fetch, or a start without waiting, would distort the measured start delays."""
    sim, events = Simulation(1), list[str]()
    controller = Controller(sim, PLAN)
    worker = create_worker(sim, events, number=1)
    assert worker.machine.machine_type == CPU_TYPE
    spec = Load(PLAN).job(1).spec
    controller.commands = [wire.launch(f"{spec.ref}/{task}", 1) for task in range(2)]
    while controller.commands:
        run_for(sim, 0.02)
    usual_fetch_s = spec.image_gb / PLAN.types[0].fetch_gb_per_s
    run_for(sim, usual_fetch_s * 0.6)
    assert events == [], "a task started before its image was there"
    run_for(sim, usual_fetch_s)
    assert len(events) == 2


# Fakes with the deployment's rate limits


class RecordingClient:
    """A client that records the replies."""

    def __init__(self, host: Host, address: tuple[str, int]) -> None:
        self.client, self.statuses = Client(host, address, 50), list[int]()
        self.bodies: list[bytes] = []

    def send(self, method: str, path: str, body: object = None) -> None:
        self.client.request(method, path, body, 5.0, self._on_reply)

    def _on_reply(self, reply: Reply) -> None:
        self.statuses.append(reply.status)
        self.bodies.append(reply.body)


def test_the_state_service_rejects_changes_above_its_rate_after_a_burst_of_one_second() -> None:
    """Without the limit a run would not show that the state service is saturated."""
    sim = Simulation(1)
    address = ("10.2.0.1", 2379)
    host = sim.host(address[0])
    service = FakeKeyValueStore(host, address)
    service.change_limit = TokenBucket(host, 10.0, 10.0)
    user = RecordingClient(sim.host("10.3.0.1"), address)
    for number in range(15):
        user.send("POST", wire.TRANSACTIONS, wire.Transaction.build({}, {f"k/{number}": 1}, []))
    run_for(sim, 1.0)
    assert (user.statuses.count(200), user.statuses.count(429)) == (10, 5)
    assert service.throttled_count == 5
    assert len(service.rows) == 10
    run_for(sim, 1.0)
    user.send("POST", wire.TRANSACTIONS, wire.Transaction.build({}, {"k/late": 1}, []))
    run_for(sim, 1.0)
    assert user.statuses[-1] == 200


class FakeLink:
    """Replaces the connection to the coordinator and records the messages."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def send(self, message: Message) -> None:
        self.messages.append(message)


def test_a_terminate_request_is_answered_only_when_all_processes_have_confirmed() -> None:
    """The reply proves that no task runs on the machines, so it must wait for every process."""
    sim, link = Simulation(1), FakeLink()
    plan = msgspec.structs.replace(PLAN, workers_per_process=30)
    cloud = RemoteCloud(sim.host(HOST), plan, link)  # type: ignore[arg-type]
    user = RecordingClient(sim.host("10.3.0.1"), plan.cloud)
    user.send("POST", wire.TERMINATE, wire.TerminateRequest(["n-000000", "n-000001"]))
    run_for(sim, 1.0)
    assert link.messages == [RemoveMachines(1, ["n-000000", "n-000001"])]
    cloud.record_machines_removed(1)
    run_for(sim, 1.0)
    assert user.statuses == []
    cloud.record_machines_removed(1)
    run_for(sim, 1.0)
    assert user.statuses == [200]
    assert len(cloud.machines) == 58


def test_the_list_of_machines_is_paged() -> None:
    """Controllers must see that more machines follow; a page has 500 at most."""
    sim = Simulation(1)
    plan = msgspec.structs.replace(PLAN, workers=700)
    RemoteCloud(sim.host(HOST), plan, FakeLink())  # type: ignore[arg-type]
    user = RecordingClient(sim.host("10.3.0.1"), plan.cloud)
    user.send("GET", wire.build_machine_list_path(None, 500))
    user.send("GET", wire.build_machine_list_path("n-000499", 500))
    run_for(sim, 1.0)
    first, second = (msgspec.msgpack.decode(body, type=wire.MachineList) for body in user.bodies)
    assert [len(first.machines), first.more] == [500, True]
    assert [len(second.machines), second.more] == [200, False]


# History


def create_history(*events: Event) -> History:
    found = History(PLAN)
    found.add(reversed(events))
    return found


SERVICE = format_ref(1)


def create_submission(ref: str, at: float) -> tuple[Event, Event]:
    reply = Event(
        at + 0.1, SUBMIT_REPLY, ref, asked_at=at, status=201, stage="pending", body_ref=ref
    )
    return Event(at, SUBMITTED, ref), reply


def test_a_history_without_faults_breaks_no_rule_in_any_order_of_arrival() -> None:
    """Processes send their events in batches, so that events arrive out of order."""
    task = f"{SERVICE}/0"
    found = create_history(
        *create_submission(SERVICE, 1.0),
        Event(2.0, STARTED, task, "n-000000", 1),
        Event(3.0, ENDED, task, "n-000000", 1, stage="lapsed"),
        Event(4.0, STARTED, task, "n-000001", 2),
    )
    assert found.check() == []
    assert found.compute_start_delays(0.0, 2.0) == {"serve": [1.0]}
    assert found.count_starts(1.5, 3.0) == 1


def test_a_task_on_two_machines_is_found_with_the_events_that_show_it() -> None:
    """A broken rule must come with its events, because the run can't be repeated exactly."""
    task = f"{SERVICE}/0"
    found = create_history(
        *create_submission(SERVICE, 1.0),
        Event(2.0, STARTED, task, "n-000000", 1),
        Event(4.0, STARTED, task, "n-000001", 2),
    )
    broken = found.check()
    assert len(broken) == 1
    assert "ran_twice" in broken[0].text
    shown = "\n".join(broken[0].format_lines())
    assert "machine=n-000000 attempt=1" in shown
    assert "machine=n-000001 attempt=2" in shown


def test_a_forgotten_job_and_a_run_without_starts_are_found() -> None:
    """A 404 after an accepted submission must be reported, and so must a run without any start.

    Such a run breaks no other rule and would pass.
    """
    not_found = Event(3.0, POLL_REPLY, SERVICE, asked_at=2.9, status=404)
    broken = create_history(*create_submission(SERVICE, 1.0), not_found).check()
    assert [rule.text.split(":")[0].split()[-1] for rule in broken] == ["forgotten", "nothing_ran"]


def test_events_after_the_end_of_the_last_phase_are_ignored() -> None:
    """At the end of a run a start may have been sent and its job's submission not yet.

    Child processes send events every quarter of a second, so the start would seem unrequested.
    """
    found = create_history(
        *create_submission(SERVICE, 1.0),
        Event(2.0, STARTED, f"{SERVICE}/0", "n-000000", 1),
        Event(9.0, STARTED, f"{format_ref(2)}/0", "n-000001", 1),
    )
    found.until = 8.0
    assert found.check() == []
    assert len(found.events) == 3


# Figures


def test_a_fit_has_slope_residual_and_whether_growth_is_linear() -> None:
    """A line through figures that grow with the square must not pass for a good extrapolation."""
    line = fit("x", [100, 200, 400, 800], [3.0, 5.0, 9.0, 17.0], 1600)
    assert (line.at_zero, line.per_worker) == (pytest.approx(1.0), pytest.approx(0.02))
    assert line.residual == pytest.approx(0.0, abs=1e-9)
    assert (line.at_target, line.factor) == (pytest.approx(33.0), 2.0)
    square = fit("x", [100, 200, 400, 800], [1.0, 4.0, 16.0, 64.0], 1600)
    assert square.power == pytest.approx(2.0)
    assert square.residual > 0.1
    assert not square.is_linear


def test_percentiles_are_within_one_percent() -> None:
    """A larger error of the histogram could hide a missed aim or report a wrong one."""
    values = [number / 1000 for number in range(1, 10_001)]
    found = compute_percentiles(values)
    assert found.count == 10_000
    assert found.median == pytest.approx(5.0, rel=0.011)
    assert found.p99 == pytest.approx(9.9, rel=0.011)
    assert found.largest == 10.0
    assert compute_percentiles([]).count == 0


def create_size_result(
    workers: int, starts: float, running: float, urgent_p95: float = 1.0
) -> SizeResult:
    """Creates the results of a size in whose steady phase 100 tasks a second were submitted."""
    nothing = Percentiles()
    phase = PhaseResult(
        name="steady",
        seconds=10.0,
        workers=workers,
        running_tasks=running,
        submitted_tasks=1000,
        starts_per_s=starts,
        start_delay={URGENT_CLASS: Percentiles(50, 0.5, urgent_p95, urgent_p95, urgent_p95)},
        submission=nothing,
        report_answer=nothing,
        reports_per_s=0.6 * workers,
        bytes_per_worker_s=600.0,
        state_requests_per_s=50.0,
        state_changes_per_s=45.0,
        state_limited_per_s=0.0,
        polls_per_s=10.0,
        polls_unanswered_per_s=0.0,
        longest_without_answer_s=0.1,
        processes={"controller-1": ProcessUse(0.001 * workers, 0.2, 30.0, 10)},
        shared_changes_per_s=0.0,
        shared_requests_per_s=0.0,
        leaders=["controller-1"],
        machine_processor=0.1,
    )
    return SizeResult(Plan(workers=workers), 5.0, [phase], 0.5, 10.0, {}, 0.0, [], "", [])


def test_missed_aims_are_reported_with_the_most_used_resource() -> None:
    """Too few starts are no missed aim if the reason is that the machines are full."""
    held, slow, queued, full = (
        create_size_result(100, 99.0, 900.0),
        create_size_result(100, 99.0, 900.0, urgent_p95=4.0),
        create_size_result(100, 60.0, 900.0),
        create_size_result(100, 60.0, 960.0),
    )
    for size in (held, slow, queued, full):
        evaluate_aims(size)
    assert (held.missed_aims, held.saturated) == ([], "nothing")
    assert slow.missed_aims == ["urgent starts: p95 4.0 s, aim 3.6 s"]
    assert slow.saturated == "state services, changes (90%)"
    assert queued.missed_aims == ["starts: 60 of 100 a second"]
    # More tasks run than the size is planned for: the machines are full.
    assert full.missed_aims == []


def test_results_are_combined_and_lines_fitted_through_sizes_that_met_their_aims(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A size that missed its aims would bend the lines; unreadable results are invalid input."""
    for name, sizes in (("a", [500, 125]), ("b", [1000, 250, 2000])):
        (tmp_path / name).mkdir()
        results = [
            create_size_result(workers, 99.0 if workers < 2000 else 50.0, 1.0) for workers in sizes
        ]
        save(ScaleResult(results, []), tmp_path / name / "results.json")
    found = combine([tmp_path / "a", tmp_path / "b"])
    assert [size.plan.workers for size in found.sizes] == [125, 250, 500, 1000, 2000]
    leader = next(line for line in found.fits if line.figure == "leader, processor (cores)")
    assert leader.per_worker == pytest.approx(0.001)
    assert leader.factor == 20.0, "the size that missed its aims is in no line"
    assert main(["emulate", "report", str(tmp_path / "a")]) == 0
    assert "lines through" not in capsys.readouterr().out
    assert main(["emulate", "report", str(tmp_path / "nowhere")]) == 2
    (tmp_path / "a" / "results.json").write_text("{")
    assert main(["emulate", "report", str(tmp_path / "a")]) == 2


# Limits


def test_too_few_open_files_are_reported_with_the_option_that_lowers_the_need(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A run with too few open files would fail half-way, in connections that can't be opened."""
    monkeypatch.setattr(limits.resource, "getrlimit", lambda _: (256, 256))
    with pytest.raises(limits.LimitError, match=r"256 \(ulimit -n\).*--workers-per-process"):
        limits.check(PLAN)


def test_too_little_memory_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    """A run that needs more than half of the machine's memory is refused before it starts."""

    class Memory:
        total = available = 512 * 2**20

    monkeypatch.setattr(limits.psutil, "virtual_memory", lambda: Memory)
    with pytest.raises(limits.LimitError, match=r"MB are needed and 256 MB.*--workers"):
        limits.check(PLAN)


def test_too_many_processes_are_refused() -> None:
    """With few workers per process, a run would start hundreds of processes."""
    many = msgspec.structs.replace(PLAN, workers=400, workers_per_process=2)
    with pytest.raises(limits.LimitError, match="206 processes"):
        limits.check(many)


@pytest.mark.real_processes
def test_a_port_in_use_is_reported() -> None:
    """A controller would exit at its start, after other processes had been started."""
    with socket.socket() as taken:
        taken.bind((HOST, 0))
        taken.listen()
        port = taken.getsockname()[1]
        plan = msgspec.structs.replace(PLAN, port=min(port, 65_000))
        with pytest.raises(limits.LimitError, match=rf"{HOST}:{port} can't be used.*--port"):
            limits.check(plan)


# Messages


class FakeStream:
    """A stream whose other end is the test."""

    def __init__(self) -> None:
        self.far, self.closed = HOST, False
        self.on_data = self.on_close = lambda *_: None

    def send(self, _: bytes) -> None:
        raise AssertionError("nothing is sent here")

    def close(self) -> None:
        self.closed = True


@pytest.mark.parametrize(
    "frame", [{"k": "no_such_kind"}, {"k": "silence_zone"}, {"k": "events", "events": [[1, 2]]}]
)
def test_a_malformed_message_is_logged_once_and_the_next_is_received(
    frame: dict[str, object], caplog: pytest.LogCaptureFixture
) -> None:
    """One message that can't be decoded must not end the connection and with it the run."""
    stream, received = FakeStream(), list[Message]()
    Channel(stream, lambda _, message: received.append(message), lambda _: None)
    with caplog.at_level(logging.ERROR):
        stream.on_data(encode_frame(frame) + encode_frame({"k": "begin"}))
    assert len(caplog.records) == 1
    assert len(received) == 1
    assert not stream.closed


def test_an_undecodable_frame_closes_the_connection(caplog: pytest.LogCaptureFixture) -> None:
    """After an invalid frame the start of the next one is unknown."""
    stream = FakeStream()
    Channel(stream, lambda *_: None, lambda _: None)
    stream.on_data(b"\xff\xff\xff\xff nonsense")
    assert stream.closed
    assert len(caplog.records) == 1


def test_deploy_file_is_not_rewritten_while_controllers_read_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The file was written again before the start of each controller. One that was starting could
    # find it empty, and exited with status 2.
    plan = msgspec.structs.replace(PLAN, cells=2)
    loop = Loop()
    coordinator = Coordinator(loop, plan, tmp_path, lambda _: None)
    written_at: list[int] = []

    def start(name: str, arguments: list[str], _: Path) -> None:
        assert arguments[-2:] == ["--cells", str(tmp_path / "cells.toml")], name
        written_at.append((tmp_path / "cells.toml").stat().st_mtime_ns)

    monkeypatch.setattr(coordinator.processes, "start", start)
    coordinator._start_controllers()
    loop.close()
    assert len(written_at) == len(plan.nodes) > 1
    assert len(set(written_at)) == 1
