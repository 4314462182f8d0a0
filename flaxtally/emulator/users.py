"""The child process that simulates users, who submit, poll, resubmit and cancel jobs."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from ..protocol import wire
from ..runtime.http import Client, Reply, ReplyCallback
from .load import Load, format_ref
from .messages import (
    CANCEL_REPLY,
    CANCEL_REQUESTED,
    POLL_REPLY,
    SUBMIT_REPLY,
    SUBMITTED,
    Event,
    Message,
    StartLoad,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .link import CoordinatorLink
    from .measured import CountingLoop
    from .plan import Plan

SUBMISSION = "submission"
"""Name of the samples of the time from a submission to its acceptance."""
ACCEPTED_STATUSES = (200, 201)
RETRYABLE_STATUSES = (0, 429, 503, 504)
"""Statuses after which a request is sent again; 0: no reply."""
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0
POLL_INTERVAL_RANGE_S = (4.0, 6.0)
RETRY_BACKOFF_RANGE_S = (1.0, 2.0)
RETRY_DEADLINE_S = 60.0
"""Seconds after the first attempt at which a user stops retrying a request."""
CONNECTIONS_PER_CONTROLLER = 32
SERVICE_SUBMISSION_FRACTION = 0.3
"""Services are submitted within this fraction of the warm-up's time limit."""
DUPLICATE_FRACTION = 0.02
"""Fraction of the accepted jobs that are submitted a second time."""
DUPLICATE_DELAY_RANGE_S = (0.0, 8.0)
"""Seconds from a job's acceptance to its second submission."""
UNKNOWN_POLL_INTERVAL_S = 3.0
"""Seconds between two polls for a job that does not exist."""
FIRST_UNKNOWN_NUMBER = 900_000_000
"""Numbers of jobs above this one are never submitted."""


class JobStatus(msgspec.Struct):
    """The body of a successful reply to a user."""

    ref: str
    stage: str


class Users:
    """Owns what the users know of their jobs, and sends their requests."""

    def __init__(self, loop: CountingLoop, plan: Plan, link: CoordinatorLink) -> None:
        self._loop, self._plan, self._link = loop, plan, link
        self._load = Load(plan)
        self._rng = random.Random(f"{plan.seed}/users")
        self._clients = [
            Client(loop, address, CONNECTIONS_PER_CONTROLLER)
            for address in plan.node_addresses.values()
        ]
        self._arrivals: Iterator[tuple[float, int]] = self._load.generate_arrivals()
        self._final_jobs: set[int] = set()
        self._open_jobs: set[int] = set()
        self._request_count = self._unanswered_polls = self._submitted_count = (
            self._accepted_count
        ) = self._abandoned_count = 0
        self._last_unknown_number = FIRST_UNKNOWN_NUMBER

    # The load

    def receive(self, message: Message) -> None:
        if isinstance(message, StartLoad):
            self._start_load()

    def _start_load(self) -> None:
        submission_window_s = self._plan.warm_up * SERVICE_SUBMISSION_FRACTION
        for number in range(1, self._load.service_count + 1):
            self._loop.after(
                submission_window_s * number / self._load.service_count, self._submit_new, number
            )
        self._load_started_at = self._loop.now()
        self._schedule_next_arrival()
        self._loop.after(UNKNOWN_POLL_INTERVAL_S, self._poll_unknown_job)

    def _schedule_next_arrival(self) -> None:
        at, number = next(self._arrivals)
        self._loop.after(
            max(0.0, self._load_started_at + at - self._loop.now()), self._on_arrival, number
        )

    def _on_arrival(self, number: int) -> None:
        self._schedule_next_arrival()
        self._submit_new(number)

    # Submissions and cancellations

    def _submit_new(self, number: int) -> None:
        self._submitted_count += 1
        self._open_jobs.add(number)
        now = self._loop.now()
        self._link.add_event(Event(now, SUBMITTED, format_ref(number)))
        self._submit(number, now, now)

    def _choose_client(self) -> Client:
        return self._rng.choice(self._clients)

    def _submit(self, number: int, first_sent_at: float, asked_at: float) -> None:
        spec = self._load.job(number).spec

        def on_reply(reply: Reply) -> None:
            self._record_reply(SUBMIT_REPLY, spec.ref, asked_at, reply)
            if reply.status in ACCEPTED_STATUSES:
                self._link.add_sample(SUBMISSION, self._loop.now() - first_sent_at)
                self._on_accepted(number)
            elif (
                reply.status in RETRYABLE_STATUSES
                and self._loop.now() - first_sent_at < RETRY_DEADLINE_S
            ):
                self._loop.after(
                    self._rng.uniform(*RETRY_BACKOFF_RANGE_S),
                    self._retry_submit,
                    number,
                    first_sent_at,
                )
            else:
                self._abandoned_count += 1
                self._open_jobs.discard(number)

        self._send_request(
            "POST", wire.JOBS, wire.build_submission(spec), SUBMIT_TIMEOUT_S, on_reply
        )

    def _retry_submit(self, number: int, first_sent_at: float) -> None:
        self._submit(number, first_sent_at, self._loop.now())

    def _on_accepted(self, number: int) -> None:
        self._accepted_count += 1
        self._loop.after(self._rng.uniform(*POLL_INTERVAL_RANGE_S), self._poll, number)
        if self._rng.random() < DUPLICATE_FRACTION:
            self._loop.after(
                self._rng.uniform(*DUPLICATE_DELAY_RANGE_S), self._submit_duplicate, number
            )
        cancel_after_s = self._load.job(number).cancel_after_s
        if cancel_after_s is not None:
            self._loop.after(cancel_after_s, self._cancel, number, None)

    def _submit_duplicate(self, number: int) -> None:
        """Sends the same submission again, as a user does after a lost reply."""
        spec, asked_at = self._load.job(number).spec, self._loop.now()

        def on_reply(reply: Reply) -> None:
            self._record_reply(SUBMIT_REPLY, spec.ref, asked_at, reply)

        self._send_request(
            "POST", wire.JOBS, wire.build_submission(spec), SUBMIT_TIMEOUT_S, on_reply
        )

    def _cancel(self, number: int, first_sent_at: float | None) -> None:
        ref, asked_at = format_ref(number), self._loop.now()
        if first_sent_at is None:
            self._link.add_event(Event(asked_at, CANCEL_REQUESTED, ref))
        retries_started_at = asked_at if first_sent_at is None else first_sent_at

        def on_reply(reply: Reply) -> None:
            self._record_reply(CANCEL_REPLY, ref, asked_at, reply)
            if (
                reply.status in RETRYABLE_STATUSES
                and self._loop.now() - retries_started_at < RETRY_DEADLINE_S
            ):
                delay = self._rng.uniform(*RETRY_BACKOFF_RANGE_S)
                self._loop.after(delay, self._cancel, number, retries_started_at)

        self._send_request("POST", f"{wire.JOBS}/{ref}/cancel", None, SUBMIT_TIMEOUT_S, on_reply)

    # Polls

    def _poll(self, number: int) -> None:
        if number in self._final_jobs:
            return
        ref, asked_at = format_ref(number), self._loop.now()

        def on_reply(reply: Reply) -> None:
            self._record_reply(POLL_REPLY, ref, asked_at, reply)
            if reply.status not in ACCEPTED_STATUSES:
                self._unanswered_polls += 1
            self._loop.after(self._rng.uniform(*POLL_INTERVAL_RANGE_S), self._poll, number)

        self._send_request("GET", f"{wire.JOBS}/{ref}", None, POLL_TIMEOUT_S, on_reply)

    def _poll_unknown_job(self) -> None:
        """Polls for a job that nobody has submitted."""
        self._loop.after(UNKNOWN_POLL_INTERVAL_S, self._poll_unknown_job)
        self._last_unknown_number += 1
        ref, asked_at = format_ref(self._last_unknown_number), self._loop.now()

        def on_reply(reply: Reply) -> None:
            self._record_reply(POLL_REPLY, ref, asked_at, reply)

        self._send_request("GET", f"{wire.JOBS}/{ref}", None, POLL_TIMEOUT_S, on_reply)

    def _send_request(
        self, method: str, path: str, body: object, timeout: float, on_reply: ReplyCallback
    ) -> None:
        self._request_count += 1
        self._choose_client().request(method, path, body, timeout, on_reply)

    def _record_reply(self, kind: str, ref: str, asked_at: float, reply: Reply) -> None:
        if reply.status == 0:
            return
        event = Event(self._loop.now(), kind, ref, asked_at=asked_at, status=reply.status)
        if reply.status in ACCEPTED_STATUSES:
            status = msgspec.msgpack.decode(reply.body, type=JobStatus)
            event.stage, event.body_ref = status.stage, status.ref
            if status.stage in (wire.DONE, wire.ABORTED):
                number = int(ref.removeprefix("j-"))
                self._final_jobs.add(number)
                self._open_jobs.discard(number)
        self._link.add_event(event)

    def totals(self) -> dict[str, float]:
        return {
            "asked": self._request_count,
            "polls_unanswered": self._unanswered_polls,
            "submitted": self._submitted_count,
            "accepted": self._accepted_count,
            "given_up": self._abandoned_count,
            "open": len(self._open_jobs),
        }
