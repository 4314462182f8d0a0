"""Which machines get no replacement of a gang's attempt, and until when."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flaxtally.leader.gang_scheduling.gang_orphans import GangOrphans
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.protocol import wire

from .ledger_records import record
from .simulated_cluster import batch, gang

if TYPE_CHECKING:
    from flaxtally.ledger.job import Job

MACHINE = "n-000001"
TASK = "j-000001/0"
EXITED = wire.TaskStatus(TASK, 1, wire.EXITED, wire.CAUSE_ERROR)
LIVE = wire.TaskStatus(TASK, 1, wire.WAITING)
TOKEN = 5


def make_state() -> ClusterState:
    """Returns a state with a gang of two, of which one task is lost, and an array."""
    state = ClusterState()
    for items in (
        ("J", 1, 1.0, *msgspec.to_builtins(gang("j-000001", 2))),
        ("J", 2, 1.0, *msgspec.to_builtins(batch("j-000002", 2))),
        ("P", 1, 0, 1, MACHINE, "a"),
        ("P", 1, 1, 1, "n-000002", "a"),
        ("E", 1, 0, 1, False),
    ):
        state.apply(record(*items), 1)
    return state


def make_orphans(state: ClusterState) -> tuple[GangOrphans, Job]:
    """Returns orphans of a term with that state, and the gang."""
    term = SimpleNamespace(
        number=TOKEN,
        ledger=SimpleNamespace(state=state),
        runtime=None,
        settings=None,
        policy=None,
        cloud=None,
        fleet=None,
        rng=None,
    )
    fence = SimpleNamespace(await_gang_commands=lambda: None)
    return GangOrphans(term, fence), state.jobs[1]  # type: ignore[arg-type]


def test_machine_is_excluded_until_it_has_forgotten_the_exit() -> None:
    # Its report and the command to forget the exit would concern a replacement as well.
    orphans, job = make_orphans(make_state())
    assert orphans.update(MACHINE, [EXITED]) == set()
    assert orphans.find_excluded_machines(job) == {MACHINE}
    assert orphans.find_forgetting_machines(job) == {MACHINE}
    assert orphans.may_send_forget(MACHINE, TOKEN, EXITED)
    orphans.record_forget(MACHINE, EXITED, TOKEN)
    # Sent a second time, the command could arrive after the replacement has exited.
    assert orphans.update(MACHINE, [EXITED]) == set()
    assert not orphans.may_send_forget(MACHINE, TOKEN, EXITED)
    # So could a copy of it, unless the launch of the replacement carries a higher token.
    assert orphans.update(MACHINE, []) == set()
    assert orphans.find_excluded_machines(job) == {MACHINE}
    assert orphans.find_forgetting_machines(job) == {MACHINE}
    orphans.term.number += 1
    assert orphans.on_token_raised() == {job}
    assert not orphans.find_excluded_machines(job)


def test_machine_of_a_live_orphan_is_excluded_for_the_rest_of_the_term() -> None:
    # Commands to stop it may still arrive, however many reports lack the task.
    orphans, job = make_orphans(make_state())
    for reported in ([LIVE], [LIVE], [EXITED], [], []):
        assert orphans.update(MACHINE, reported) == set()
        assert orphans.find_excluded_machines(job) == {MACHINE}
        assert not orphans.find_forgetting_machines(job)


@pytest.mark.parametrize(
    "items",
    [
        ("C", 1),
        ("E", 1, 1, 1, True),
    ],
)
def test_gang_that_is_over_excludes_no_machine(items: tuple[object, ...]) -> None:
    # The exits of finished gangs are forgotten like those of other jobs, and kept no memory of.
    state = make_state()
    orphans, job = make_orphans(state)
    orphans.update(MACHINE, [LIVE])
    state.apply(record(*items), 1)
    orphans.update(MACHINE, [LIVE])
    assert not orphans.find_excluded_machines(job)
    assert orphans.may_send_forget(MACHINE, TOKEN, EXITED)
    assert orphans.may_send_forget(MACHINE, TOKEN, EXITED)


def test_next_attempt_may_use_the_machine() -> None:
    # Its number is another one, so reports and commands tell the attempts apart.
    state = make_state()
    orphans, job = make_orphans(state)
    orphans.update(MACHINE, [EXITED])
    for items in (("E", 1, 1, 1, False), ("P", 1, 0, 2, "n-000003", "a")):
        state.apply(record(*items), 1)
    orphans.update(MACHINE, [EXITED])
    assert not orphans.find_excluded_machines(job)


def test_removed_machine_and_tasks_of_other_jobs_are_not_remembered() -> None:
    # Each array leaves an exit on its machines: they must not add up.
    orphans, job = make_orphans(make_state())
    other = wire.TaskStatus("j-000002/0", 1, wire.EXITED, wire.CAUSE_DONE)
    unknown = wire.TaskStatus("j-000999/0", 1, wire.EXITED, wire.CAUSE_DONE)
    orphans.update("n-000004", [other, unknown])
    orphans.update(MACHINE, [EXITED, other])
    assert orphans.may_send_forget(MACHINE, TOKEN, other)
    assert orphans.may_send_forget(MACHINE, TOKEN, other)
    orphans.forget_machine(MACHINE)
    assert not orphans.find_excluded_machines(job)
    assert not orphans._by_machine


def test_forget_command_is_sent_again_once_the_machine_refuses_the_first() -> None:
    # It was lost: the exit is listed under a higher token than the command had.
    orphans, _ = make_orphans(make_state())
    orphans.update(MACHINE, [EXITED])
    assert orphans.may_send_forget(MACHINE, TOKEN, EXITED)
    orphans.record_forget(MACHINE, EXITED, TOKEN)
    orphans.update(MACHINE, [EXITED])
    assert orphans.may_send_forget(MACHINE, TOKEN + 1, EXITED)
    assert not orphans.may_send_forget(MACHINE, TOKEN + 1, EXITED)


@given(
    st.lists(
        st.tuples(
            st.lists(st.sampled_from([EXITED, LIVE]), max_size=1), st.booleans(), st.booleans()
        ),
        max_size=10,
    )
)
@settings(derandomize=True, deadline=None)
def test_replacement_meets_no_copy_of_a_command_about_an_earlier_task(
    reports: list[tuple[list[wire.TaskStatus], bool, bool]],
) -> None:
    # Whatever a machine reports: once it may take a replacement, whose launch raises its token to
    # the term's, no command about an earlier task of that name can be executed, nor a copy of one.
    # Commands are late; a forget command has arrived if the exit is gone.
    orphans, job = make_orphans(make_state())
    machine_token, open_forgets, forget_token, is_stop_sent = TOKEN, 0, 0, False
    for reported, is_raised, is_token_seen in reports:
        if is_raised:
            orphans.term.number += 1
            orphans.on_token_raised()
        if is_token_seen:
            machine_token = orphans.term.number
        orphans.update(MACHINE, reported)
        for task in reported:
            if task.state != wire.EXITED:
                is_stop_sent = True
            elif orphans.may_send_forget(MACHINE, machine_token, task):
                assert not open_forgets or forget_token < machine_token
                open_forgets, forget_token = 1, orphans.term.number
                orphans.record_forget(MACHINE, task, forget_token)
        if not reported:
            open_forgets = 0
        if MACHINE not in orphans.find_excluded_machines(job):
            assert not reported
            assert not open_forgets
            assert forget_token < orphans.term.number
            assert not is_stop_sent
