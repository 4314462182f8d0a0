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
def test_a_report_is_held_back_until_a_new_leader_has_acted(crash: bool) -> None:
    # It reaches every controller just as the new leader begins, and proves nothing there.
    cluster = start_busy_cluster()
    cluster.duplicate_heartbeats(1.0, 30.0, deliver_in_next_term=True)
    submit_steady_load(cluster, 25.0)
    cluster.run(6)
    for _ in range(3):
        leader = wait_for_leader(cluster)
        if crash:
            cluster.crash(leader, back_after=2.0)
        else:
            cluster.isolate(leader, 6.0)
        cluster.run(7)
    assert cluster.delivered_copies > 30
    check_final_state(cluster)


@pytest.mark.parametrize("seed", [1, 2])
def test_old_reports_arrive_after_newer_ones_also_of_earlier_sessions_and_attempts(
    seed: int,
) -> None:
    cluster = start_busy_cluster(seed)
    cluster.duplicate_heartbeats(0.4, 60.0)
    submit_steady_load(cluster, 50.0)
    cluster.run(8)
    # Some machines begin a new session; others are hung, replaced, and known only by copies.
    names = sorted(cluster.workers)
    cluster.inject_machine_fault("cut", [names[0]], 11.0)
    cluster.inject_machine_fault("hung", names[1:2], 30.0)
    cluster.run(16)
    cluster.crash(wait_for_leader(cluster), back_after=2.0)
    cluster.run(30)
    assert cluster.delivered_copies > 30
    assert (
        any(worker.session > 1 for worker in cluster.workers.values())
        or names[0] not in cluster.workers
    )
    check_final_state(cluster)


def test_a_command_or_its_answer_is_held_up_and_the_machine_goes_on() -> None:
    cluster = start_busy_cluster()
    submit_steady_load(cluster, 40.0)
    for turn in range(6):
        name = sorted(cluster.workers)[turn % len(cluster.workers)]
        cluster.inject_machine_fault("cut", [name], 2.0 + turn)
        cluster.inject_machine_fault("hung", [name], 1.0 + turn / 2)
        if turn % 3 == 2:
            cluster.crash(wait_for_leader(cluster), back_after=1.0)
        cluster.run(6)
    check_final_state(cluster)


@pytest.mark.parametrize("slow", [0.0, 0.05])
def test_users_look_closely_right_after_each_answer(slow: float) -> None:
    # No node may answer something older than what any node has told.
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
            cluster.crash(wait_for_leader(cluster), back_after=1.0)
        cluster.run(1.5)
    while not all(cluster.rules.jobs[f"j-{500 + number:06d}"].told for number in range(20)):
        cluster.run(0.5)
        for number in range(20):
            ref = f"j-{500 + number:06d}"
            job = cluster.rules.jobs[ref]
            if job.told and cluster.sim.time - job.told_at < 0.6:
                cluster.poll_repeatedly(ref)
            elif not job.told:
                cluster.call(NODES[number % 3], "GET", f"{wire.WORK}/{ref}", None, lambda *_: None)
        assert cluster.sim.time < 200, cluster.trace[-30:]
    assert cancelled == 5
    check_final_state(cluster, 20)


def test_odd_requests_while_other_troubles_last() -> None:
    # Bad input is refused, an accepted job never: not as unknown, not as malformed, not as unfit.
    cluster = start_busy_cluster(run_time=15.0)
    cluster.run(20)
    done = [ref for ref, job in cluster.rules.jobs.items() if job.told == wire.DONE] or ["j-000100"]
    statuses: dict[str, set[int]] = {}

    def send(name: str, body: object, path: str = wire.WORK) -> None:
        node = cluster.rng.choice(NODES)
        cluster.call(
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
        send("known", wire.submission(cluster.specs["j-000000"]))
        send("known, malformed", {"ref": "j-000001"})
        send("done, cancelled", None, f"{wire.WORK}/{done[0]}/cancel")
        send("nobody's, cancelled", None, f"{wire.WORK}/{ref}5/cancel")

    for number in range(40):
        cluster.after(number * 0.7, odd, number)
    cluster.after(4.0, cluster.refuse, wait_for_leader(cluster), 6.0)
    cluster.after(9.0, cluster.start_state_outage, 5.0)
    cluster.after(18.0, cluster.isolate, wait_for_leader(cluster), 6.0)
    cluster.run(32)
    assert statuses.pop("fits nothing") - {503, 0} == {422}
    assert statuses.pop("too much") - {503, 0} == {422}
    assert statuses.pop("lacks a field") - {503, 0} == {400}
    assert statuses.pop("wrong type") - {503, 0} == {400}
    assert statuses.pop("nobody's, cancelled") - {503, 0} == {404}
    assert all(found - {503, 0} == {200} for found in statuses.values()), statuses
    check_final_state(cluster, 20)


def test_an_answer_to_a_former_life_of_a_controller_is_none_to_this() -> None:
    # Found by reading: questions were numbered from 1 in each life of a process, and matched by
    # that number alone.
    cluster = start_busy_cluster(arrays=1)
    leader = wait_for_leader(cluster)
    node = next(name for name in NODES if name != leader)
    cluster.slow_down_state_service(1.0, 10.0)
    cluster.call(node, "GET", f"{wire.WORK}/j-000000", None, lambda *_: None)
    cluster.run(0.05)
    cluster.crash(node, back_after=0.1)
    assert cluster.run_until(
        lambda: (
            cluster.nodes[node].election.is_available and cluster.sim.hosts[cluster.ip(node)].alive
        ),
        3,
    )
    answers: list[int] = []
    for ref in ("j-000001", "j-000100"):
        cluster.call(
            node, "GET", f"{wire.WORK}/{ref}", None, lambda status, _: answers.append(status)
        )
    cluster.run(5)
    assert len(answers) == 2
    # Neither do orders' answers of another peer, or of another life, count.
    relay = cluster.nodes[leader].command_relay
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
    cluster = start_busy_cluster()
    name = cluster.find_machine("j-000000/0")
    stale = [cluster.workers[name].report() for _ in range(3)]
    cluster.inject_machine_fault("hung", [name], 60.0)
    change_leader(cluster)
    for turn in range(22):
        for node in NODES:
            cluster._deliver_copy(node, stale[turn % 3])
        cluster.run(1.0)
    assert name not in cluster.workers
    # Nor does one of a machine that is gone, and that the next leader does not know, become room
    # for long.
    change_leader(cluster)
    cluster._deliver_copy(wait_for_leader(cluster), stale[0])
    cluster.run(12)
    assert name not in cluster.nodes[wait_for_leader(cluster)].leader.term.fleet.machines
    check_final_state(cluster)


def test_nonsense_between_controllers_and_from_workers_is_one_line_and_ends_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    cluster = start_busy_cluster(services=2, arrays=0)
    leader = wait_for_leader(cluster)
    before = dict(cluster.running)
    hello = encode_frame({"k": "hello", "node": next(name for name in NODES if name != leader)})
    nonsense = [
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
        for number, data in enumerate(nonsense):
            caplog.clear()
            cluster.user.connect((cluster.ip(leader), 8081)).send(data)
            cluster.run(0.2)
            assert len(caplog.records) <= 1, (number, caplog.records)
            assert not any(record.exc_info for record in caplog.records), (number, caplog.records)
        caplog.clear()
        for body in (b"x", {"rig": "n-1"}, {"rig": 7}):
            answers: list[int] = []
            cluster.call(
                leader, "POST", wire.BEAT, body, lambda status, _, told=answers: told.append(status)
            )
            cluster.run(0.2)
            assert answers == [400]
        assert len(caplog.records) == 3
    copy = cluster.workers[sorted(cluster.workers)[0]].report()
    cluster.run(3)
    recent = cluster.nodes[leader].recent_heartbeats
    before_copy = recent.newest_of(copy.machine)
    cluster._deliver_copy(leader, copy)
    cluster.run(0.2)
    after_copy = recent.newest_of(copy.machine)
    assert before_copy is not None
    assert after_copy is not None
    assert after_copy.sequence_number >= before_copy.sequence_number > copy.sequence_number
    assert cluster.running == before
    check_final_state(cluster, 10)
