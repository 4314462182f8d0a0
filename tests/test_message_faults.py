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

from .scenarios import (
    change_leader,
    check_final_state,
    start_busy_cluster,
    submit_steady_load,
    term,
    wait_for_leader,
)
from .simulated_cluster import NODES, batch, spec


@pytest.mark.parametrize("crash", [True, False])
def test_heartbeats_delayed_past_a_leader_change_are_harmless(crash: bool) -> None:
    # Delayed heartbeats reach every controller just as a new leader's term begins. It must not take
    # them for evidence of what runs now.
    cluster = start_busy_cluster()
    cluster.duplicate_heartbeats(1.0, 30.0, deliver_in_next_term=True)
    submit_steady_load(cluster, 25.0)
    cluster.run(6)
    for _ in range(3):
        leader = wait_for_leader(cluster)
        if crash:
            cluster.crash(leader, restart_after_s=2.0)
        else:
            cluster.isolate(leader, 6.0)
        cluster.run(7)
    assert cluster.delivered_copies > 30
    check_final_state(cluster)


@pytest.mark.parametrize("seed", [1, 2])
def test_reordered_heartbeats_of_earlier_sessions_and_attempts_are_harmless(
    seed: int,
) -> None:
    # A copy of an old heartbeat that arrives after newer ones, also from an earlier session or
    # about an earlier attempt, must not change what the leader knows of the machine.
    cluster = start_busy_cluster(seed)
    cluster.duplicate_heartbeats(0.4, 60.0)
    submit_steady_load(cluster, 50.0)
    cluster.run(8)
    # Some machines begin a new session. Others hang and are replaced, so that only copies of their
    # heartbeats arrive.
    names = sorted(cluster.workers)
    cluster.inject_machine_fault("cut", [names[0]], 11.0)
    cluster.inject_machine_fault("hung", names[1:2], 30.0)
    cluster.run(16)
    cluster.crash(wait_for_leader(cluster), restart_after_s=2.0)
    cluster.run(30)
    assert cluster.delivered_copies > 30
    assert (
        any(worker.session > 1 for worker in cluster.workers.values())
        or names[0] not in cluster.workers
    )
    check_final_state(cluster)


def test_delayed_commands_and_replies_are_harmless() -> None:
    # A command or the reply to it is delayed while the machine keeps running: the command must not
    # take effect twice, and no task may be lost.
    cluster = start_busy_cluster()
    submit_steady_load(cluster, 40.0)
    for round_number in range(6):
        name = sorted(cluster.workers)[round_number % len(cluster.workers)]
        cluster.inject_machine_fault("cut", [name], 2.0 + round_number)
        cluster.inject_machine_fault("hung", [name], 1.0 + round_number / 2)
        if round_number % 3 == 2:
            cluster.crash(wait_for_leader(cluster), restart_after_s=1.0)
        cluster.run(6)
    check_final_state(cluster)


@pytest.mark.parametrize("slow", [0.0, 0.05])
def test_no_controller_replies_with_older_state_than_was_reported(slow: float) -> None:
    # No controller may reply with an older state of a job than any controller has reported before.
    cluster = start_busy_cluster()
    cluster.slow_down_links(slow, 60.0)
    cancelled = 0
    for number in range(20):
        ref = f"j-{500 + number:06d}"
        cluster.submit(batch(ref, 1 + number % 2), run_time=2.0 + number % 3, node=number)
        assert cluster.run_until(lambda ref=ref: ref in cluster.accepted, 5)  # type: ignore[misc]
        cluster.poll_repeatedly(ref)
        if number % 4 == 0:
            cluster.cancel(ref, number + 1)
            assert cluster.run_until(lambda ref=ref: ref in cluster.reported_cancelled_at, 10)  # type: ignore[misc]
            cluster.poll_repeatedly(ref)
            cancelled += 1
        if number % 5 == 4:
            cluster.crash(wait_for_leader(cluster), restart_after_s=1.0)
        cluster.run(1.5)
    while not all(cluster.rules.jobs[f"j-{500 + number:06d}"].final_stage for number in range(20)):
        cluster.run(0.5)
        for number in range(20):
            ref = f"j-{500 + number:06d}"
            job = cluster.rules.jobs[ref]
            if job.final_stage and cluster.sim.time - job.final_stage_at < 0.6:
                cluster.poll_repeatedly(ref)
            elif not job.final_stage:
                cluster.call(NODES[number % 3], "GET", f"{wire.JOBS}/{ref}", None, lambda *_: None)
        assert cluster.sim.time < 200, cluster.trace[-30:]
    assert cancelled == 5
    check_final_state(cluster, 20)


def test_invalid_requests_are_rejected_during_other_faults() -> None:
    # Invalid input must be rejected. A request on an accepted job must never be rejected as
    # unknown, malformed or impossible to place.
    cluster = start_busy_cluster(run_time=15.0)
    cluster.run(20)
    finished_refs = [
        ref for ref, job in cluster.rules.jobs.items() if job.final_stage == wire.DONE
    ] or ["j-000100"]
    statuses: dict[str, set[int]] = {}

    def send(name: str, body: object, path: str = wire.JOBS) -> None:
        node = cluster.rng.choice(NODES)
        cluster.call(
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
        send("known job", wire.build_submission(cluster.specs["j-000000"]))
        send("known job, malformed", {"ref": "j-000001"})
        send("cancel finished job", None, f"{wire.JOBS}/{finished_refs[0]}/cancel")
        send("cancel unknown job", None, f"{wire.JOBS}/{ref}5/cancel")

    for number in range(40):
        cluster.after(number * 0.7, send_invalid_requests, number)
    cluster.after(4.0, cluster.refuse, wait_for_leader(cluster), 6.0)
    cluster.after(9.0, cluster.start_state_outage, 5.0)
    cluster.after(18.0, cluster.isolate, wait_for_leader(cluster), 6.0)
    cluster.run(32)
    assert statuses.pop("fits no machine") - {503, 0} == {422}
    assert statuses.pop("too many tasks") - {503, 0} == {422}
    assert statuses.pop("missing field") - {503, 0} == {400}
    assert statuses.pop("wrong type") - {503, 0} == {400}
    assert statuses.pop("cancel unknown job") - {503, 0} == {404}
    assert all(received - {503, 0} == {200} for received in statuses.values()), statuses
    check_final_state(cluster, 20)


def test_reply_to_an_earlier_incarnation_is_ignored() -> None:
    # Requests were numbered from 1 in each incarnation of a controller, and replies were matched by
    # that number only, so a reply to a request of an earlier incarnation could match a new one.
    cluster = start_busy_cluster(arrays=1)
    leader = wait_for_leader(cluster)
    node = next(name for name in NODES if name != leader)
    cluster.slow_down_state_service(1.0, 10.0)
    cluster.call(node, "GET", f"{wire.JOBS}/j-000000", None, lambda *_: None)
    cluster.run(0.05)
    cluster.crash(node, restart_after_s=0.1)
    assert cluster.run_until(
        lambda: (
            cluster.nodes[node].election.is_available and cluster.sim.hosts[cluster.ip(node)].alive
        ),
        3,
    )
    replies: list[int] = []
    for ref in ("j-000001", "j-000100"):
        cluster.call(
            node, "GET", f"{wire.JOBS}/{ref}", None, lambda status, _: replies.append(status)
        )
    cluster.run(5)
    assert len(replies) == 2
    # Results of commands from another peer, or for another incarnation, must be ignored as well.
    relay = cluster.nodes[leader].command_relay
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
    cluster = start_busy_cluster()
    name = cluster.find_machine("j-000000/0")
    old_heartbeats = [cluster.workers[name].report() for _ in range(3)]
    cluster.inject_machine_fault("hung", [name], 60.0)
    change_leader(cluster)
    for round_number in range(22):
        for node in NODES:
            cluster._deliver_copy(node, old_heartbeats[round_number % 3])
        cluster.run(1.0)
    assert name not in cluster.workers
    # A copy from a machine that has been terminated, and that the next leader does not know, must
    # not add that machine to the fleet's capacity for long.
    change_leader(cluster)
    cluster._deliver_copy(wait_for_leader(cluster), old_heartbeats[0])
    cluster.run(12)
    assert name not in cluster.nodes[wait_for_leader(cluster)].leader.term.fleet.machines
    check_final_state(cluster)


def test_malformed_input_from_peers_and_workers_logs_one_line_and_has_no_effect(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Each malformed frame or request must be logged in one line without a traceback. It must not
    # end a controller or change what runs.
    cluster = start_busy_cluster(services=2, arrays=0)
    leader = wait_for_leader(cluster)
    before = dict(cluster.running)
    hello = encode_frame({"k": "hello", "node": next(name for name in NODES if name != leader)})
    malformed_inputs = [
        b"\xff" * 40,
        encode_frame({"k": "hb"}),
        hello + encode_frame({"k": "hb", "term": "x", "leader": 3}),
        hello + encode_frame({"k": "ord", "a": 1, "o": []}),
        hello + encode_frame({"k": "rep", "t": term(cluster), "b": b"x"}),
        hello + encode_frame({"k": "ans", "i": "x"}),
        hello + encode_frame({"k": "done", "i": [1]}),
        hello + encode_frame({"k": "?"}),
        hello + encode_frame({"k": "ask", "i": 1, "w": "poll", "s": 7}),
        hello + b"\x00\x00\x00\x01\xff",
    ]
    with caplog.at_level(logging.WARNING):
        for number, data in enumerate(malformed_inputs):
            caplog.clear()
            cluster.user.connect((cluster.ip(leader), 8081)).send(data)
            cluster.run(0.2)
            assert len(caplog.records) <= 1, (number, caplog.records)
            assert not any(record.exc_info for record in caplog.records), (number, caplog.records)
        caplog.clear()
        for body in (b"x", {"rig": "n-1"}, {"rig": 7}):
            replies: list[int] = []
            cluster.call(
                leader,
                "POST",
                wire.HEARTBEAT,
                body,
                lambda status, _, statuses=replies: statuses.append(status),
            )
            cluster.run(0.2)
            assert replies == [400]
        assert len(caplog.records) == 3
    copy = cluster.workers[sorted(cluster.workers)[0]].report()
    cluster.run(3)
    recent = cluster.nodes[leader].recent_heartbeats
    before_copy = recent.get_newest(copy.machine)
    cluster._deliver_copy(leader, copy)
    cluster.run(0.2)
    after_copy = recent.get_newest(copy.machine)
    assert before_copy is not None
    assert after_copy is not None
    assert after_copy.sequence_number >= before_copy.sequence_number > copy.sequence_number
    assert cluster.running == before
    check_final_state(cluster, 10)
