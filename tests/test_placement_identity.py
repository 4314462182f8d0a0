"""An exit, a launch or a forget command belongs to one placement and is taken for no other's.

The tasks of a gang keep their attempt number when they are replaced, so a machine's report and the
commands to it name the same task and attempt for several placements.
"""

from __future__ import annotations

from functools import partial
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from flaxtally.cluster.messages import RELAYED_COMMAND_KIND
from flaxtally.cluster.peer_links import PeerLinks
from flaxtally.leader.reclaim.open_reclaims import OpenReclaim, OpenReclaims
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.ledger.reclaims import BorrowedAttempt, Reclaim
from flaxtally.protocol import wire

from .ledger_records import record
from .scenarios import change_leader, count_launches, wait_for_leader
from .simulated_cluster import GANG_WAIT_S, NODES, SimulatedCluster, batch, gang, spec

if TYPE_CHECKING:
    from collections.abc import Callable

    from flaxtally.fakes.worker import Worker

GANG = "j-000002"
COMMAND_DELAY_S = 9.0
"""Seconds for which commands to a machine are held up."""
LOST = 1e6
"""Seconds for which a command that never arrives is held up."""


def start_waiting_gang(seed: int = 1) -> tuple[SimulatedCluster, Worker]:
    """Returns a cluster in which a task of a gang failed before the gang began, and its machine.

    The gang's three tasks take three of four equal machines, and the others still fetch the image.
    A service takes the fourth. The end of the task that failed is committed, and its machine lists
    the exit: the leader crashed before it could have the machine forget it.
    """
    cluster = SimulatedCluster(seed, capacity=2)
    cluster.submit(spec("j-000001", cores=10.0, machine_types=("c16",), spread=False))
    cluster.submit(gang("j-000009", 3, cores=10.0, machine_types=("c16",), one_zone=False))
    assert cluster.run_until(lambda: len(cluster.running) == 4, 60), cluster.trace
    cluster.cancel("j-000009")
    assert cluster.run_until(lambda: "j-000009" in cluster.reported_cancelled_at, 30)
    spare = cluster.find_machine("j-000001/0")
    failing = next(worker for name, worker in cluster.workers.items() if name != spare)
    # The image is in the caches of two machines from earlier work; the others fetch it for 6 s.
    for worker in (failing, cluster.workers[spare]):
        worker._images.add("img-2")
    failed: list[str] = []

    def fail_once(ref: str) -> bool:
        if ref == GANG and not failed:
            failed.append(ref)
            return True
        return False

    failing.does_job_fail = fail_once
    cluster.submit(
        gang(
            GANG,
            3,
            cores=10.0,
            machine_types=("c16",),
            one_zone=False,
            image="img-2",
            image_gb=12.0,
        ),
        run_time=5.0,
    )
    assert cluster.run_until(lambda: has_exited(failing), 20), cluster.trace
    assert cluster.run_until(lambda: is_end_committed(cluster), 5), cluster.trace
    return cluster, failing


def has_exited(worker: Worker) -> bool:
    """Returns whether the worker lists an exited task of the gang."""
    return any(
        held.task.startswith(GANG) and held.state == wire.EXITED for held in worker.tasks.values()
    )


def is_end_committed(cluster: SimulatedCluster) -> bool:
    """Returns whether the leader has committed the end of a task of the gang."""
    job = cluster.nodes[wait_for_leader(cluster)].leader.term.ledger.state.jobs_by_ref[GANG]
    return len(job.placements) < 3 and not job.uncommitted_ends


def test_exit_under_an_earlier_leader_does_not_end_the_placement_of_the_next_one() -> None:
    # A new leader had a machine forget an exited task of a gang and placed that task there again,
    # under the same attempt. Both commands were late, and it took the exit, which the machine still
    # listed, for the end of its own placement: the task started on two machines (review/1).
    cluster, failing = start_waiting_gang()
    failing.get_command_delay_s = lambda sent: COMMAND_DELAY_S if sent.commands else 0.0
    change_leader(cluster, restart_after_s=5.0)
    cluster.run(2.5)
    # Now there is room on another machine.
    cluster.cancel("j-000001")
    cluster.run(2 * COMMAND_DELAY_S)
    failing.get_command_delay_s = lambda _: 0.0
    assert_completes(cluster)


@pytest.mark.parametrize("delay_s", [0.0, 3.0, 5.0])
def test_lost_task_comes_back_within_its_attempt_after_a_change_of_leader(delay_s: float) -> None:
    # The other side: the only room is on the machine that lists the exit. The gang must not be
    # given up for that: the machine takes the task once it has forgotten the exit.
    cluster, failing = start_waiting_gang()
    failing.get_command_delay_s = lambda sent: delay_s if sent.commands else 0.0
    change_leader(cluster, restart_after_s=5.0)
    assert cluster.run_until(lambda: (GANG, 1) in cluster.gangs.started_attempts, GANG_WAIT_S), (
        cluster.trace
    )
    failing.get_command_delay_s = lambda _: 0.0
    assert_completes(cluster)
    assert [name for name, _ in cluster.gangs.started_attempts].count(GANG) == 1


def test_lost_task_goes_elsewhere_at_once_if_its_machine_never_forgets_the_exit() -> None:
    # The command to forget the exit is lost. The machine stays excluded, and other room is used as
    # soon as there is some.
    cluster, failing = start_waiting_gang()
    failing.get_command_delay_s = lambda sent: LOST if sent.commands else 0.0
    change_leader(cluster, restart_after_s=5.0)
    cluster.run(1.0)
    assert cluster.count(GANG) < 3
    cluster.cancel("j-000001")
    assert cluster.run_until(lambda: (GANG, 1) in cluster.gangs.started_attempts, GANG_WAIT_S), (
        cluster.trace
    )
    assert failing.machine.machine not in {
        machine for name, (machine, _) in cluster.running.items() if name.startswith(GANG)
    }
    assert_completes(cluster)


def test_gang_is_given_up_in_time_if_its_only_room_never_forgets_the_exit() -> None:
    # Waiting for the machine must end: after half of the waiting time the attempt is given up, and
    # the next attempt has a number of its own, which any machine can take.
    cluster, failing = start_waiting_gang()

    def get_delay_s(sent: wire.CommandBatch) -> float:
        return LOST if any(command.verb == wire.FORGET for command in sent.commands) else 0.0

    failing.get_command_delay_s = get_delay_s
    change_leader(cluster, restart_after_s=5.0)
    assert cluster.run_until(
        lambda: (GANG, 2) in cluster.gangs.started_attempts, 2 * GANG_WAIT_S
    ), cluster.trace
    assert_completes(cluster)


def test_relayed_launch_is_not_executed_again_by_a_restarted_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A relayed command may arrive twice, directly and through the key-value store. A controller
    # that was restarted in between did not know that it had executed the first copy. A launch was
    # then executed again, after the machine had forgotten the finished attempt.
    copies: list[Callable[[], None]] = []
    send = PeerLinks.send

    def keep_copy(peers: PeerLinks, node: str, frame: dict[str, Any]) -> None:
        send(peers, node, frame)
        if frame["k"] == RELAYED_COMMAND_KIND and is_launch(frame):
            copies.append(partial(send, peers, node, frame))

    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=4))
    assert cluster.run_until(lambda: len(cluster.running) == 4, 60), cluster.trace
    launched = count_launches(monkeypatch)
    monkeypatch.setattr(PeerLinks, "send", keep_copy)
    for number in range(8):
        cluster.submit(batch(f"j-{100 + number:06d}", 2), run_time=1.0, node=number)
    cluster.run(30)
    assert len(launched) == 16
    assert copies
    leader = wait_for_leader(cluster)
    for name in NODES:
        if name != leader:
            cluster.crash(name, restart_after_s=0.1)
    cluster.run(3)
    assert cluster.leader() == leader
    for send_copy in copies:
        send_copy()
    cluster.run(3)
    assert max(launched.values()) == 1, launched
    # The other side: the restarted controllers relay what is meant for them.
    copies.clear()
    cluster.submit(batch("j-000200", 8), run_time=1.0)
    assert cluster.run_until(lambda: len(cluster.rules.jobs["j-000200"].done) == 8, 30)
    assert copies


@pytest.mark.parametrize("body", [b"", b"\xff", msgspec.msgpack.encode({"rig": 7})])
def test_reply_that_cannot_be_read_does_not_answer_a_launch(
    body: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Once its launches are answered, a task that is to be stopped and was never reported counts as
    # never launched. A reply without a status proves neither that it was launched nor that not.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", spread=False))
    assert cluster.run_until(lambda: len(cluster.running) == 1, 60), cluster.trace
    duties = cluster.nodes[wait_for_leader(cluster)].leader.duties
    placement = duties.term.ledger.state.jobs_by_ref["j-000001"].placements[0]
    replies: list[Callable[[int, bytes], None]] = []
    monkeypatch.setattr(duties.commands.transport, "send", lambda *sent: replies.append(sent[-1]))
    duties.commands.launch_task(placement)
    assert cluster.run_until(lambda: bool(replies), 1)
    assert placement.launches_in_flight == 1
    replies[0](200, body)
    assert placement.launches_in_flight == 1
    duties.commands.launch_task(placement)
    assert cluster.run_until(lambda: len(replies) > 1, 1)
    worker = cluster.workers[placement.machine]
    replies[-1](200, msgspec.msgpack.encode(worker.report()))
    assert placement.launches_in_flight == 1


def test_victim_of_a_reclaim_is_not_its_replacement_on_another_machine() -> None:
    # A reclaim stops a gang's task on one machine. A replacement of that task elsewhere has the
    # same attempt number. It was taken for the victim: the reclaim did not see that its machine
    # was free, and would have stopped the gang a second time.
    state = ClusterState()
    for items in (
        ("J", 1, 1.0, *msgspec.to_builtins(gang("j-000001", 2))),
        ("J", 2, 1.0, *msgspec.to_builtins(spec("j-000002"))),
        ("P", 1, 0, 1, "n-000001", "a"),
        ("P", 1, 1, 1, "n-000002", "a"),
    ):
        state.apply(record(*items), 1)
    reclaim = Reclaim(1, "crew", 2, "n-000001", 1.0, 9.0, 1, (BorrowedAttempt(1, 0, 1),))
    reclaims = OpenReclaims(SimpleNamespace(state=state))  # type: ignore[arg-type]
    reclaims.add(OpenReclaim(reclaim, is_committed=True))
    victim = state.jobs[1].placements[0]
    assert reclaims.find_remaining_victims(reclaim) == [victim]
    assert reclaims.will_stop(victim)
    state.apply(record("E", 1, 0, 1, False), 1)
    state.apply(record("P", 1, 0, 1, "n-000003", "a"), 1)
    assert reclaims.find_remaining_victims(reclaim) == []
    assert not reclaims.will_stop(state.jobs[1].placements[0])


def is_launch(frame: dict[str, Any]) -> bool:
    """Returns whether the frame relays a command to launch a task."""
    commands = (frame["o"] or {}).get("orders", ())
    return any(command["verb"] == wire.LAUNCH for command in commands)


def assert_completes(cluster: SimulatedCluster) -> None:
    """Runs until all tasks of the gang are done."""
    assert cluster.run_until(lambda: len(cluster.rules.jobs[GANG].done) == 3, 60), cluster.trace
