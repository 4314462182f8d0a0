"""Late, duplicated, invalid and malformed messages during other faults.

The cases are those of `docs/fault_combinations.md`.
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
def test_heartbeats_delayed_past_a_leader_change_are_harmless(crash: bool) -> None:
    # Delayed heartbeats reach every controller just as a new leader's term begins. It must not take
    # them for evidence of what runs now.
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
def test_reordered_heartbeats_of_earlier_sessions_and_attempts_are_harmless(
    seed: int,
) -> None:
    # A copy of an old heartbeat that arrives after newer ones, also from an earlier session or
    # about an earlier attempt, must not change what the leader knows of the machine.
    world = busy(seed)
    world.copy_reports(0.4, 60.0)
    steady_work(world, 50.0)
    world.run(8)
    # Some machines begin a new session. Others hang and are replaced, so that only copies of their
    # heartbeats arrive.
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


def test_delayed_commands_and_replies_are_harmless() -> None:
    # A command or the reply to it is delayed while the machine keeps running: the command must not
    # take effect twice, and no task may be lost.
    world = busy()
    steady_work(world, 40.0)
    for round_number in range(6):
        name = sorted(world.workers)[round_number % len(world.workers)]
        world.machine_trouble("cut", [name], 2.0 + round_number)
        world.machine_trouble("hung", [name], 1.0 + round_number / 2)
        if round_number % 3 == 2:
            world.crash(leader_of(world), back_after=1.0)
        world.run(6)
    ends_well(world)


@pytest.mark.parametrize("slow", [0.0, 0.05])
def test_no_controller_replies_with_older_state_than_was_reported(slow: float) -> None:
    # No controller may reply with an older state of a job than any controller has reported before.
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
    while not all(world.rules.jobs[f"j-{500 + number:06d}"].told for number in range(20)):
        world.run(0.5)
        for number in range(20):
            ref = f"j-{500 + number:06d}"
            job = world.rules.jobs[ref]
            if job.told and world.sim.time - job.told_at < 0.6:
                world.look_closely(ref)
            elif not job.told:
                world.call(NODES[number % 3], "GET", f"{wire.JOBS}/{ref}", None, lambda *_: None)
        assert world.sim.time < 200, world.trace[-30:]
    assert cancelled == 5
    ends_well(world, 20)


def test_invalid_requests_are_rejected_during_other_faults() -> None:
    # Invalid input must be rejected. A request on an accepted job must never be rejected as
    # unknown, malformed or impossible to place.
    world = busy(run_time=15.0)
    world.run(20)
    finished_refs = [ref for ref, job in world.rules.jobs.items() if job.told == wire.DONE] or [
        "j-000100"
    ]
    statuses: dict[str, set[int]] = {}

    def send(name: str, body: object, path: str = wire.JOBS) -> None:
        node = world.rng.choice(NODES)
        world.call(
            node, "POST", path, body, lambda status, _: statuses.setdefault(name, set()).add(status)
        )

    def send_invalid_requests(number: int) -> None:
        ref = f"j-{7000 + number:06d}"
        send("fits no machine", wire.build_submission(spec(ref + "1", cores=1000.0)))
        send("too many tasks", wire.build_submission(spec(ref + "2", tasks=101)))
        send("missing field", {"ref": ref + "3", "lane": "gate"})
        send(
            "wrong type",
            {**msgspec.to_builtins(wire.build_submission(spec(ref + "4"))), "hands": "many"},
        )
        send("known job", wire.build_submission(world.specs["j-000000"]))
        send("known job, malformed", {"ref": "j-000001"})
        send("cancel finished job", None, f"{wire.JOBS}/{finished_refs[0]}/cancel")
        send("cancel unknown job", None, f"{wire.JOBS}/{ref}5/cancel")

    for number in range(40):
        world.after(number * 0.7, send_invalid_requests, number)
    world.after(4.0, world.refuse, leader_of(world), 6.0)
    world.after(9.0, world.outage, 5.0)
    world.after(18.0, world.isolate, leader_of(world), 6.0)
    world.run(32)
    assert statuses.pop("fits no machine") - {503, 0} == {422}
    assert statuses.pop("too many tasks") - {503, 0} == {422}
    assert statuses.pop("missing field") - {503, 0} == {400}
    assert statuses.pop("wrong type") - {503, 0} == {400}
    assert statuses.pop("cancel unknown job") - {503, 0} == {404}
    assert all(received - {503, 0} == {200} for received in statuses.values()), statuses
    ends_well(world, 20)


def test_reply_to_an_earlier_incarnation_is_ignored() -> None:
    # Requests were numbered from 1 in each incarnation of a controller, and replies were matched by
    # that number only, so a reply to a request of an earlier incarnation could match a new one.
    world = busy(arrays=1)
    leader = leader_of(world)
    node = next(name for name in NODES if name != leader)
    world.slow_state(1.0, 10.0)
    world.call(node, "GET", f"{wire.JOBS}/j-000000", None, lambda *_: None)
    world.run(0.05)
    world.crash(node, back_after=0.1)
    assert world.until(
        lambda: world.nodes[node].election.is_available and world.sim.hosts[world.ip(node)].alive, 3
    )
    replies: list[int] = []
    for ref in ("j-000001", "j-000100"):
        world.call(
            node, "GET", f"{wire.JOBS}/{ref}", None, lambda status, _: replies.append(status)
        )
    world.run(5)
    assert len(replies) == 2
    # Results of commands from another peer, or for another incarnation, must be ignored as well.
    relay = world.nodes[leader].command_relay
    statuses: list[int] = []
    relay.send(
        node,
        "n",
        "10.1.99.99:9000",
        wire.CommandBatch(1, 1, []),
        lambda status, _: statuses.append(status),
    )
    number = next(iter(relay._pending))
    relay.handle_result(node, RelayedCommandResult(number=1, status=200, body=b""))
    relay.handle_result("hearth-9", RelayedCommandResult(number=number, status=200, body=b""))
    assert statuses == []
    relay.handle_result(node, RelayedCommandResult(number=number, status=200, body=b""))
    assert statuses == [200]


def test_copies_of_old_heartbeats_keep_no_machine_alive_for_a_new_leader() -> None:
    # Until a machine had the new leader's fencing token, each copy of an old heartbeat counted as
    # proof that the machine was alive.
    world = busy()
    name = world.machine_of("j-000000/0")
    old_heartbeats = [world.workers[name].report() for _ in range(3)]
    world.machine_trouble("hung", [name], 60.0)
    change_leader(world)
    for round_number in range(22):
        for node in NODES:
            world._deliver_copy(node, old_heartbeats[round_number % 3])
        world.run(1.0)
    assert name not in world.workers
    # A copy from a machine that has been terminated, and that the next leader does not know, must
    # not add that machine to the fleet's capacity for long.
    change_leader(world)
    world._deliver_copy(leader_of(world), old_heartbeats[0])
    world.run(12)
    assert name not in world.nodes[leader_of(world)].leader.term.fleet.machines
    ends_well(world)


def test_malformed_input_from_peers_and_workers_logs_one_line_and_has_no_effect(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Each malformed frame or request must be logged in one line without a traceback. It must not
    # end a controller or change what runs.
    world = busy(services=2, arrays=0)
    leader = leader_of(world)
    before = dict(world.running)
    hello = encode_frame({"k": "hello", "node": next(name for name in NODES if name != leader)})
    malformed_inputs = [
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
        for number, data in enumerate(malformed_inputs):
            caplog.clear()
            world.user.connect((world.ip(leader), 8081)).send(data)
            world.run(0.2)
            assert len(caplog.records) <= 1, (number, caplog.records)
            assert not any(record.exc_info for record in caplog.records), (number, caplog.records)
        caplog.clear()
        for body in (b"x", {"rig": "n-1"}, {"rig": 7}):
            replies: list[int] = []
            world.call(
                leader,
                "POST",
                wire.HEARTBEAT,
                body,
                lambda status, _, statuses=replies: statuses.append(status),
            )
            world.run(0.2)
            assert replies == [400]
        assert len(caplog.records) == 3
    copy = world.workers[sorted(world.workers)[0]].report()
    world.run(3)
    recent = world.nodes[leader].recent_heartbeats
    before_copy = recent.get_newest(copy.machine)
    world._deliver_copy(leader, copy)
    world.run(0.2)
    after_copy = recent.get_newest(copy.machine)
    assert before_copy is not None
    assert after_copy is not None
    assert after_copy.sequence_number >= before_copy.sequence_number > copy.sequence_number
    assert world.running == before
    ends_well(world, 10)
