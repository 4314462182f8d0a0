"""Tests that each rule of the checker finds a fault, and that events without a fault break none."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from flaxtally.emulator.rules import Rules
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .simulated_cluster import CANCEL_DEADLINE_S, TYPES, batch, spec

if TYPE_CHECKING:
    from collections.abc import Callable

REF = "j-000001"


def listed(
    name: str, zone: str = "a", spot: bool = False, machine_type: str = "g8"
) -> wire.ListedMachine:
    return wire.ListedMachine(name, machine_type, zone, spot, "running", 0.0, None)


def create_rules(job: wire.Spec | None = None) -> Rules:
    """Creates rules with a job that was accepted at 1 s and whose task 0 runs on n-0 since 2 s."""
    rules = Rules({"crew": Team("crew", 0.0, 20.0, 0.0, 8.0)}, TYPES, CANCEL_DEADLINE_S)
    rules.record_submission(job or batch(REF, 2))
    rules.record_reply("submit", REF, 0.5, 1.0, 201, {"ref": REF, "stage": "pending"})
    rules.record_start(f"{REF}/0", 1, listed("n-0"), 2.0)
    return rules


def record_stage_reply(
    rules: Rules, stage: str, asked_at: float, at: float, ref: str = REF
) -> None:
    rules.record_reply("poll", ref, asked_at, at, 200, {"ref": ref, "stage": stage})


def cancelled(rules: Rules) -> None:
    rules.record_cancel_request(REF)
    record_stage_reply(rules, wire.ABORTED, 3.0, 3.1)


def ran_twice(rules: Rules) -> None:
    rules.record_start(f"{REF}/0", 2, listed("n-1"), 3.0)


def quota(rules: Rules) -> None:
    rules.record_submission(spec("j-000002", tasks=9))
    for number in range(9):
        rules.record_start(f"j-000002/{number}", 1, listed(f"n-{number}", "ab"[number % 2]), 3.0)


def ran_cancelled(rules: Rules) -> None:
    cancelled(rules)
    rules.check_deadlines(3.0 + CANCEL_DEADLINE_S)
    assert not rules.broken
    rules.check_deadlines(3.2 + CANCEL_DEADLINE_S)


def started_cancelled(rules: Rules) -> None:
    cancelled(rules)
    rules.record_start(f"{REF}/1", 1, listed("n-1"), 4.0)


def started_outdated(rules: Rules) -> None:
    rules.record_end(f"{REF}/0", 1, "n-0", False)
    rules.record_start(f"{REF}/0", 2, listed("n-1"), 3.0)
    rules.record_end(f"{REF}/0", 2, "n-1", False)
    assert not rules.broken
    rules.record_start(f"{REF}/0", 1, listed("n-0"), 4.0)


def forgotten(rules: Rules) -> None:
    rules.record_reply("poll", REF, 2.0, 2.1, 404, None)


def refused_again(rules: Rules) -> None:
    rules.record_reply("submit", REF, 2.0, 2.1, 422, None)


def unanswered(rules: Rules) -> None:
    rules.check_after_faults(84.0, 10.0, [])
    assert not rules.broken
    rules.check_after_faults(86.0, 10.0, [])


def invented(rules: Rules) -> None:
    record_stage_reply(rules, wire.PENDING, 2.0, 2.1, "j-000009")


def not_done(rules: Rules) -> None:
    rules.record_end(f"{REF}/0", 1, "n-0", True)
    record_stage_reply(rules, wire.DONE, 3.0, 3.1)


def went_back(rules: Rules) -> None:
    cancelled(rules)
    record_stage_reply(rules, wire.PENDING, 3.0, 3.2)
    assert rules.reordered_replies == 1
    assert not rules.broken
    record_stage_reply(rules, wire.PENDING, 3.15, 3.2)


def cancelled_by_nobody(rules: Rules) -> None:
    record_stage_reply(rules, wire.ABORTED, 3.0, 3.1)


def wrong_job(rules: Rules) -> None:
    rules.record_reply("poll", REF, 3.0, 3.1, 200, {"ref": "j-000002", "stage": "pending"})


def accepted(rules: Rules) -> None:
    rules.record_submission(spec("j-000003", cores=1000.0))
    rules.record_reply("submit", "j-000003", 3.0, 3.1, 201, {"ref": "j-000003", "stage": "pending"})


def left_waiting(rules: Rules) -> None:
    for at in range(10, 101):
        rules.record_reply("poll", REF, at, at, 200, {"ref": REF, "stage": "running"})
        rules.check_after_faults(at, 10.0, [(listed("n-0"), {f"{REF}/0"}), (listed("n-1"), set())])
    assert not rules.broken
    rules.check_after_faults(101.0, 10.0, [(listed("n-0"), {f"{REF}/0"}), (listed("n-1"), set())])


FAULTS: dict[str, list[Callable[[Rules], None]]] = {
    "ran_twice": [ran_twice],
    "quota": [quota],
    "ran_cancelled": [ran_cancelled],
    "started_cancelled": [started_cancelled],
    "started_outdated": [started_outdated],
    "forgotten": [forgotten, refused_again, unanswered],
    "invented": [invented],
    "not_done": [not_done],
    "went_back": [went_back, cancelled_by_nobody],
    "wrong_job": [wrong_job],
    "accepted": [accepted],
    "left_waiting": [left_waiting],
}


@pytest.mark.parametrize(
    ("rule", "fault"), [(rule, fault) for rule, faults in FAULTS.items() for fault in faults]
)
def test_an_injected_fault_breaks_its_rule_and_no_other(
    rule: str, fault: Callable[[Rules], None]
) -> None:
    """A rule that can't fail would let every simulated run pass."""
    rules = create_rules()
    assert not rules.broken
    fault(rules)
    assert {broken.split()[1] for broken in rules.broken} == {rule + ":"}


@pytest.mark.parametrize(
    "change",
    [
        {"machine_types": ("c16",)},
        {"zone": "b"},
        {"spot": False},
        {"one_zone": True},
        {"spread": True, "tasks": 2},
    ],
)
def test_a_task_on_a_machine_that_its_job_excludes_is_found(change: dict[str, object]) -> None:
    """Each constraint on a job's machines must be checked: type, zone, spot, one zone, spread."""
    rules = Rules({"crew": Team("crew", 0.0, 20.0, 0.0, 8.0)}, TYPES, CANCEL_DEADLINE_S)
    job = msgspec.structs.replace(batch(REF, 4), **change)
    rules.record_submission(job)
    rules.record_start(
        f"{REF}/0", 1, listed("n-0", "a", "spread" in change or "one_zone" in change), 1.0
    )
    is_first_place_allowed = not rules.broken
    rules.record_start(
        f"{REF}/1", 1, listed("n-1", "b" if "one_zone" in change else "a", True), 2.0
    )
    assert [broken.split()[1] for broken in rules.broken][-1:] == ["wrong_place:"]
    assert is_first_place_allowed or set(change) <= {"machine_types", "zone"}


def test_events_without_a_fault_break_no_rule() -> None:
    """A rule that reports correct behaviour would make every simulated run fail."""
    rules = create_rules(batch(REF, 1))
    rules.record_end(f"{REF}/0", 1, "n-0", True)
    record_stage_reply(rules, wire.DONE, 3.0, 3.1)
    record_stage_reply(rules, wire.DONE, 3.2, 3.3)
    rules.record_reply("poll", "j-000404", 3.0, 3.1, 404, None)
    rules.check_deadlines(500.0)
    rules.check_after_faults(500.0, 10.0, [(listed("n-0"), set())])
    assert rules.broken == []
