"""The history of a run: checks the rules over all of its events in the order of their times."""

from __future__ import annotations

import re
from itertools import pairwise
from typing import TYPE_CHECKING

from ..protocol import wire
from .load import Load, parse_job_number
from .messages import CANCEL_REQUESTED, ENDED, REPLY_KINDS, STARTED, SUBMIT_REPLY, SUBMITTED, Event
from .rules import Rules

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .plan import Plan

CHECK_INTERVAL_S = 1.0
"""Seconds of the history between two checks of deadlines."""
HTTP_OK, HTTP_CREATED = 200, 201
MAX_EVENTS_SHOWN = 12
"""Events that are kept as evidence of a broken rule."""
TASK_OR_JOB_PATTERN = re.compile(r"j-[0-9]+(/[0-9]+)?")


class BrokenRule:
    """A broken rule and the events that show it."""

    def __init__(self, text: str, events: list[Event]) -> None:
        self.text, self.events = text, events

    def format_lines(self) -> list[str]:
        return [self.text, *(f"    {format_event(event)}" for event in self.events)]


def format_event(event: Event) -> str:
    """Formats an event as one line."""
    words = [f"{event.at:.3f}", event.kind, event.subject]
    if event.machine:
        words.append(f"machine={event.machine} attempt={event.attempt}")
    if event.status:
        words.append(f"asked_at={event.asked_at:.3f} status={event.status}")
    if event.stage:
        words.append(event.stage)
    return " ".join(words)


class History:
    """Owns the events of all processes of a run; they share the machine's monotonic clock."""

    def __init__(self, plan: Plan) -> None:
        self._plan, self._load = plan, Load(plan)
        self._machines = {machine.machine: machine for machine in plan.machines}
        self.events: list[Event] = []
        self.until = float("inf")
        """Events after this time are ignored: not every child process has sent its last events
        when the run ends.
        """

    def add_machine(self, machine: wire.ListedMachine) -> None:
        self._machines[machine.machine] = machine

    def add(self, events: Iterable[Event]) -> None:
        self.events += events

    def check(self) -> list[BrokenRule]:
        """Checks all rules over all events; returns the broken ones."""
        plan = self._plan
        rules = Rules({team.name: team for team in plan.teams}, plan.types, plan.cancel_s)
        self.events = sorted(
            (event for event in self.events if event.at <= self.until), key=lambda event: event.at
        )
        found: list[BrokenRule] = []
        next_check_at = self.events[0].at if self.events else 0.0
        for position, event in enumerate(self.events):
            while event.at >= next_check_at:
                rules.check_deadlines(next_check_at)
                next_check_at += CHECK_INTERVAL_S
            self._apply_event(rules, event)
            while len(rules.broken) > len(found):
                found.append(self._collect_evidence(rules.broken[len(found)], event, position))
        if not any(event.kind == STARTED for event in self.events):
            found.append(BrokenRule("nothing_ran", []))
        return found

    def _apply_event(self, rules: Rules, event: Event) -> None:
        if event.kind == STARTED:
            machine = self._machines[event.machine]
            rules.record_start(event.subject, event.attempt, machine, event.at)
        elif event.kind == ENDED:
            done = event.stage == wire.CAUSE_DONE
            rules.record_end(event.subject, event.attempt, event.machine, done)
        elif event.kind == SUBMITTED:
            rules.record_submission(self._load.job(parse_job_number(event.subject)).spec)
        elif event.kind == CANCEL_REQUESTED:
            rules.record_cancel_request(event.subject)
        elif event.kind in REPLY_KINDS:
            body = {"ref": event.body_ref, "stage": event.stage}
            rules.record_reply(
                event.kind, event.subject, event.asked_at, event.at, event.status, body
            )

    def _collect_evidence(self, text: str, event: Event, position: int) -> BrokenRule:
        """Returns the broken rule with the last events of the task or job that its text names."""
        named = TASK_OR_JOB_PATTERN.search(text)
        subject = named.group() if named else event.subject
        related = [
            other
            for other in self.events[: position + 1]
            if other.subject in (subject, subject.partition("/")[0])
        ]
        return BrokenRule(text, related[-MAX_EVENTS_SHOWN:])

    # Figures

    def compute_start_delays(self, since: float, until: float) -> dict[str, list[float]]:
        """Returns tasks' start delays by job class: seconds from the first submission of the job.

        Covers jobs that were submitted in that interval; tasks that didn't start are left out.
        """
        submitted: dict[str, float] = {}
        started: set[str] = set()
        delays: dict[str, list[float]] = {}
        for event in self.events:
            if event.kind == SUBMITTED and since <= event.at < until:
                submitted[event.subject] = event.at
            elif event.kind == STARTED and event.subject not in started:
                started.add(event.subject)
                first = submitted.get(event.subject.partition("/")[0])
                if first is not None:
                    job_class = self._load.job(parse_job_number(event.subject)).spec.job_class
                    delays.setdefault(job_class, []).append(event.at - first)
        return delays

    def count_submitted_tasks(self, since: float, until: float) -> int:
        """Counts the tasks of jobs that were submitted in that interval."""
        return sum(
            self._load.job(parse_job_number(event.subject)).spec.tasks
            for event in self.events
            if event.kind == SUBMITTED and since <= event.at < until
        )

    def count_starts(self, since: float, until: float) -> int:
        """Counts the starts of tasks in that interval."""
        return sum(event.kind == STARTED and since <= event.at < until for event in self.events)

    def find_first_acceptance(self, at: float) -> float | None:
        """Returns when the first submission that was sent at or after `at` was accepted."""
        return min(
            (
                event.at
                for event in self.events
                if event.kind == SUBMIT_REPLY
                and event.status == HTTP_CREATED
                and event.asked_at >= at
            ),
            default=None,
        )

    def compute_longest_gap_s(self, kinds: tuple[str, ...], since: float, until: float) -> float:
        """Returns the longest time in the interval without a successful reply of these kinds."""
        times = [
            event.at
            for event in self.events
            if event.kind in kinds
            and event.status in (HTTP_OK, HTTP_CREATED)
            and since <= event.at < until
        ]
        marks = [since, *sorted(times), until]
        return max(later - earlier for earlier, later in pairwise(marks))
