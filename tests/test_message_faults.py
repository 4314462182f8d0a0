"""Messages that are late, copied, odd or nonsense, while other troubles last: cases of
`docs/fault_combinations.md`.
"""

from __future__ import annotations

import logging

import msgspec
import pytest

from flaxtally.cluster.frame_codec import encode_frame
from flaxtally.cluster.messages import RelayedCommandResult
from flaxtally.protocol import wire

from .scenarios import busy, change_leader, ends_well, leader_of, steady_work, term
from .simulated_cluster import NODES, batch, spec


@pytest.mark.parametrize("crash", [True, False])
def test_a_report_is_held_back_until_a_new_leader_has_acted(crash: bool) -> None:
    # It reaches every controller just as the new leader begins, and proves nothing there.
    world = busy()
    world.copy_reports(1.0, 30.0, for_next=True)
    steady_work(world, 25.0)
    world.run(6)
    for _ in range(3):
        leader = leader_of(world)
        if crash:
            world.crash(leader, back_after=2.0)
        else:
            world.isolate(leader, 6.0)
        world.run(7)
    assert world.copies > 30
    ends_well(world)


@pytest.mark.parametrize("seed", [1, 2])
def test_old_reports_arrive_after_newer_ones_also_of_earlier_sessions_and_attempts(
    seed: int,
) -> None:
    world = busy(seed)
    world.copy_reports(0.4, 60.0)
    steady_work(world, 50.0)
    world.run(8)
    # Some machines begin a new session; others are hung, replaced, and known only by copies.
    names = sorted(world.workers)
    world.machine_trouble("cut", [names[0]], 11.0)
    world.machine_trouble("hung", names[1:2], 30.0)
    world.run(16)
    world.crash(leader_of(world), back_after=2.0)
    world.run(30)
    assert world.copies > 30
    assert (
        any(worker.session > 1 for worker in world.workers.values())
        or names[0] not in world.workers
    )
    ends_well(world)


def test_a_command_or_its_answer_is_held_up_and_the_machine_goes_on() -> None:
    world = busy()
    steady_work(world, 40.0)
    for turn in range(6):
        name = sorted(world.workers)[turn % len(world.workers)]
        world.machine_trouble("cut", [name], 2.0 + turn)
        world.machine_trouble("hung", [name], 1.0 + turn / 2)
        if turn % 3 == 2:
            world.crash(leader_of(world), back_after=1.0)
        world.run(6)
    ends_well(world)


@pytest.mark.parametrize("slow", [0.0, 0.05])
def test_users_look_closely_right_after_each_answer(slow: float) -> None:
    # No node may answer something older than what any node has told.
    world = busy()
    world.slow_links(slow, 60.0)
    cancelled = 0
    for number in range(20):
        ref = f"j-{500 + number:06d}"
        world.submit(batch(ref, 1 + number % 2), run_time=2.0 + number % 3, node=number)
        assert world.until(lambda ref=ref: ref in world.accepted, 5)  # type: ignore[misc]
        world.look_closely(ref)
        if number % 4 == 0:
            world.cancel(ref, number + 1)
            assert world.until(lambda ref=ref: ref in world.told_cancelled, 10)  # type: ignore[misc]
            world.look_closely(ref)
            cancelled += 1
        if number % 5 == 4:
            world.crash(leader_of(world), back_after=1.0)
        world.run(1.5)
    while not all(world.rules.jobs[f"j-{500 + number:06d}"].final_stage for number in range(20)):
        world.run(0.5)
        for number in range(20):
            ref = f"j-{500 + number:06d}"
            job = world.rules.jobs[ref]
            if job.final_stage and world.sim.time - job.final_stage_at < 0.6:
                world.look_closely(ref)
            elif not job.final_stage:
                world.call(NODES[number % 3], "GET", f"{wire.WORK}/{ref}", None, lambda *_: None)
        assert world.sim.time < 200, world.trace[-30:]
    assert cancelled == 5
    ends_well(world, 20)


def test_odd_requests_while_other_troubles_last() -> None:
    # Bad input is refused, an accepted job never: not as unknown, not as malformed, not as unfit.
    world = busy(run_time=15.0)
    world.run(20)
    done = [ref for ref, job in world.rules.jobs.items() if job.final_stage == wire.DONE] or [
        "j-000100"
    ]
    statuses: dict[str, set[int]] = {}

    def send(name: str, body: object, path: str = wire.WORK) -> None:
        node = world.rng.choice(NODES)
        world.call(
            node, "POST", path, body, lambda status, _: statuses.setdefault(name, set()).add(status)
        )

    def odd(number: int) -> None:
        ref = f"j-{7000 + number:06d}"
        send("fits nothing", wire.submission(spec(ref + "1", cores=1000.0)))
        send("too much", wire.submission(spec(ref + "2", tasks=101)))
        send("lacks a field", {"ref": ref + "3", "lane": "gate"})
        send(
            "wrong type", {**msgspec.to_builtins(wire.submission(spec(ref + "4"))), "hands": "many"}
        )
        send("known", wire.submission(world.specs["j-000000"]))
        send("known, malformed", {"ref": "j-000001"})
        send("done, cancelled", None, f"{wire.WORK}/{done[0]}/cancel")
        send("nobody's, cancelled", None, f"{wire.WORK}/{ref}5/cancel")

    for number in range(40):
        world.after(number * 0.7, odd, number)
    world.after(4.0, world.refuse, leader_of(world), 6.0)
    world.after(9.0, world.outage, 5.0)
    world.after(18.0, world.isolate, leader_of(world), 6.0)
    world.run(32)
    assert statuses.pop("fits nothing") - {503, 0} == {422}
    assert statuses.pop("too much") - {503, 0} == {422}
    assert statuses.pop("lacks a field") - {503, 0} == {400}
    assert statuses.pop("wrong type") - {503, 0} == {400}
    assert statuses.pop("nobody's, cancelled") - {503, 0} == {404}
    assert all(found - {503, 0} == {200} for found in statuses.values()), statuses
    ends_well(world, 20)


def test_an_answer_to_a_former_life_of_a_controller_is_none_to_this() -> None:
    # Found by reading: questions were numbered from 1 in each life of a process, and matched by
    # that number alone.
    world = busy(arrays=1)
    leader = leader_of(world)
    node = next(name for name in NODES if name != leader)
    world.slow_state(1.0, 10.0)
    world.call(node, "GET", f"{wire.WORK}/j-000000", None, lambda *_: None)
    world.run(0.05)
    world.crash(node, back_after=0.1)
    assert world.until(
        lambda: world.nodes[node].election.is_available and world.sim.hosts[world.ip(node)].alive, 3
    )
    answers: list[int] = []
    for ref in ("j-000001", "j-000100"):
        world.call(
            node, "GET", f"{wire.WORK}/{ref}", None, lambda status, _: answers.append(status)
        )
    world.run(5)
    assert len(answers) == 2
    # Neither do orders' answers of another peer, or of another life, count.
    relay = world.nodes[leader].command_relay
    told: list[int] = []
    relay.send(
        node,
        "n",
        "10.1.99.99:9000",
        wire.CommandBatch(1, 1, []),
        lambda status, _: told.append(status),
    )
    number = next(iter(relay._relayed))
    relay.handle_result(node, RelayedCommandResult(number=1, status=200, body=b""))
    relay.handle_result("hearth-9", RelayedCommandResult(number=number, status=200, body=b""))
    assert told == []
    relay.handle_result(node, RelayedCommandResult(number=number, status=200, body=b""))
    assert told == [200]


def test_copies_of_old_reports_keep_no_machine_alive_for_a_new_leader() -> None:
    # Found by reading: until a machine had the new leader's token, each copy counted as a sign of
    # life.
    world = busy()
    name = world.machine_of("j-000000/0")
    stale = [world.workers[name].report() for _ in range(3)]
    world.machine_trouble("hung", [name], 60.0)
    change_leader(world)
    for turn in range(22):
        for node in NODES:
            world._deliver_copy(node, stale[turn % 3])
        world.run(1.0)
    assert name not in world.workers
    # Nor does one of a machine that is gone, and that the next leader does not know, become room
    # for long.
    change_leader(world)
    world._deliver_copy(leader_of(world), stale[0])
    world.run(12)
    assert name not in world.nodes[leader_of(world)].leader.term.fleet.machines
    ends_well(world)


def test_nonsense_between_controllers_and_from_workers_is_one_line_and_ends_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world = busy(services=2, arrays=0)
    leader = leader_of(world)
    before = dict(world.running)
    hello = encode_frame({"k": "hello", "node": next(name for name in NODES if name != leader)})
    nonsense = [
        b"\xff" * 40,
        encode_frame({"k": "hb"}),
        hello + encode_frame({"k": "hb", "term": "x", "leader": 3}),
        hello + encode_frame({"k": "ord", "a": 1, "o": []}),
        hello + encode_frame({"k": "rep", "t": term(world), "b": b"x"}),
        hello + encode_frame({"k": "ans", "i": "x"}),
        hello + encode_frame({"k": "done", "i": [1]}),
        hello + encode_frame({"k": "?"}),
        hello + encode_frame({"k": "ask", "i": 1, "w": "poll", "s": 7}),
        hello + b"\x00\x00\x00\x01\xff",
    ]
    with caplog.at_level(logging.WARNING):
        for number, data in enumerate(nonsense):
            caplog.clear()
            world.user.connect((world.ip(leader), 8081)).send(data)
            world.run(0.2)
            assert len(caplog.records) <= 1, (number, caplog.records)
            assert not any(record.exc_info for record in caplog.records), (number, caplog.records)
        caplog.clear()
        for body in (b"x", {"rig": "n-1"}, {"rig": 7}):
            answers: list[int] = []
            world.call(
                leader, "POST", wire.BEAT, body, lambda status, _, told=answers: told.append(status)
            )
            world.run(0.2)
            assert answers == [400]
        assert len(caplog.records) == 3
    copy = world.workers[sorted(world.workers)[0]].report()
    world.run(3)
    recent = world.nodes[leader].recent_heartbeats
    before_copy = recent.newest_of(copy.machine)
    world._deliver_copy(leader, copy)
    world.run(0.2)
    after_copy = recent.newest_of(copy.machine)
    assert before_copy is not None
    assert after_copy is not None
    assert after_copy.sequence_number >= before_copy.sequence_number > copy.sequence_number
    assert world.running == before
    ends_well(world, 10)
