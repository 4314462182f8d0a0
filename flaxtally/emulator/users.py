"""The part that plays the users: they submit, ask at any node, repeat themselves and cancel."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from ..protocol import wire
from ..runtime.http import Client, Reply, ReplyCallback
from .load import Load, reference
from .messages import (
    ANSWERED_CANCEL,
    ANSWERED_POLL,
    ANSWERED_SUBMIT,
    CANCEL_ASKED,
    SUBMITTED,
    Begin,
    Event,
    Message,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .link import Link
    from .measured import CountingLoop
    from .plan import Plan

SUBMISSION = "submission"
ACCEPTED = (200, 201)
RETRIED = (0, 429, 503, 504)
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0
POLL_EVERY_S = (4.0, 6.0)
RETRY_AFTER_S = (1.0, 2.0)
GIVE_UP_S = 60.0
CONNECTIONS = 32
"""To each controller."""
SERVICES_WITHIN = 0.3
"""Standing services are submitted within this share of the warm-up."""
REPEATED_SHARE = 0.02
REPEAT_AFTER_S = (0.0, 8.0)
UNKNOWN_EVERY_S = 3.0
FIRST_UNKNOWN = 900_000_000


class JobStatus(msgspec.Struct):
    """An answer to a user."""

    ref: str
    stage: str


class Users:
    """Owns what the users know of their jobs."""

    def __init__(self, loop: CountingLoop, plan: Plan, link: Link) -> None:
        self._loop, self._plan, self._link = loop, plan, link
        self._load = Load(plan)
        self._rng = random.Random(f"{plan.seed}/users")
        self._clients = [Client(loop, where, CONNECTIONS) for where in plan.node_addresses.values()]
        self._arrivals: Iterator[tuple[float, int]] = self._load.arrivals()
        self._final: set[int] = set()
        self._open: set[int] = set()
        self._asked = self._unanswered = self._submitted = self._accepted = self._given_up = 0
        self._unknown = FIRST_UNKNOWN

    # The load

    def receive(self, message: Message) -> None:
        if isinstance(message, Begin):
            self._begin()

    def _begin(self) -> None:
        within = self._plan.warm_up * SERVICES_WITHIN
        for number in range(1, self._load.services + 1):
            self._loop.after(within * number / self._load.services, self._submit_new, number)
        self._began = self._loop.now()
        self._next_arrival()
        self._loop.after(UNKNOWN_EVERY_S, self._ask_unknown)

    def _next_arrival(self) -> None:
        at, number = next(self._arrivals)
        self._loop.after(max(0.0, self._began + at - self._loop.now()), self._arrive, number)

    def _arrive(self, number: int) -> None:
        self._next_arrival()
        self._submit_new(number)

    # Submissions and cancellations

    def _submit_new(self, number: int) -> None:
        self._submitted += 1
        self._open.add(number)
        now = self._loop.now()
        self._link.event(Event(now, SUBMITTED, reference(number)))
        self._submit(number, now, now)

    def _client(self) -> Client:
        return self._rng.choice(self._clients)

    def _submit(self, number: int, first: float, asked_at: float) -> None:
        spec = self._load.job(number).spec

        def told(reply: Reply) -> None:
            self._answered(ANSWERED_SUBMIT, spec.ref, asked_at, reply)
            if reply.status in ACCEPTED:
                self._link.sample(SUBMISSION, self._loop.now() - first)
                self._accept(number)
            elif reply.status in RETRIED and self._loop.now() - first < GIVE_UP_S:
                self._loop.after(self._rng.uniform(*RETRY_AFTER_S), self._again, number, first)
            else:
                self._given_up += 1
                self._open.discard(number)

        self._ask("POST", wire.WORK, wire.submission(spec), SUBMIT_TIMEOUT_S, told)

    def _again(self, number: int, first: float) -> None:
        self._submit(number, first, self._loop.now())

    def _accept(self, number: int) -> None:
        self._accepted += 1
        self._loop.after(self._rng.uniform(*POLL_EVERY_S), self._poll, number)
        if self._rng.random() < REPEATED_SHARE:
            self._loop.after(self._rng.uniform(*REPEAT_AFTER_S), self._repeat, number)
        cancel_after = self._load.job(number).cancel_after
        if cancel_after is not None:
            self._loop.after(cancel_after, self._cancel, number, None)

    def _repeat(self, number: int) -> None:
        """The same submission once more, as after a lost answer."""
        spec, asked_at = self._load.job(number).spec, self._loop.now()

        def told(reply: Reply) -> None:
            self._answered(ANSWERED_SUBMIT, spec.ref, asked_at, reply)

        self._ask("POST", wire.WORK, wire.submission(spec), SUBMIT_TIMEOUT_S, told)

    def _cancel(self, number: int, first: float | None) -> None:
        ref, asked_at = reference(number), self._loop.now()
        if first is None:
            self._link.event(Event(asked_at, CANCEL_ASKED, ref))
        since = asked_at if first is None else first

        def told(reply: Reply) -> None:
            self._answered(ANSWERED_CANCEL, ref, asked_at, reply)
            if reply.status in RETRIED and self._loop.now() - since < GIVE_UP_S:
                delay = self._rng.uniform(*RETRY_AFTER_S)
                self._loop.after(delay, self._cancel, number, since)

        self._ask("POST", f"{wire.WORK}/{ref}/cancel", None, SUBMIT_TIMEOUT_S, told)

    # Questions

    def _poll(self, number: int) -> None:
        if number in self._final:
            return
        ref, asked_at = reference(number), self._loop.now()

        def told(reply: Reply) -> None:
            self._answered(ANSWERED_POLL, ref, asked_at, reply)
            if reply.status not in ACCEPTED:
                self._unanswered += 1
            self._loop.after(self._rng.uniform(*POLL_EVERY_S), self._poll, number)

        self._ask("GET", f"{wire.WORK}/{ref}", None, POLL_TIMEOUT_S, told)

    def _ask_unknown(self) -> None:
        """Users also ask for jobs that nobody has submitted."""
        self._loop.after(UNKNOWN_EVERY_S, self._ask_unknown)
        self._unknown += 1
        ref, asked_at = reference(self._unknown), self._loop.now()

        def told(reply: Reply) -> None:
            self._answered(ANSWERED_POLL, ref, asked_at, reply)

        self._ask("GET", f"{wire.WORK}/{ref}", None, POLL_TIMEOUT_S, told)

    def _ask(
        self, method: str, path: str, body: object, timeout: float, told: ReplyCallback
    ) -> None:
        self._asked += 1
        self._client().request(method, path, body, timeout, told)

    def _answered(self, kind: str, ref: str, asked_at: float, reply: Reply) -> None:
        if reply.status == 0:
            return
        event = Event(self._loop.now(), kind, ref, asked_at=asked_at, status=reply.status)
        if reply.status in ACCEPTED:
            status = msgspec.msgpack.decode(reply.body, type=JobStatus)
            event.stage, event.body_ref = status.stage, status.ref
            if status.stage in (wire.DONE, wire.ABORTED):
                number = int(ref.removeprefix("j-"))
                self._final.add(number)
                self._open.discard(number)
        self._link.event(event)

    def totals(self) -> dict[str, float]:
        return {
            "asked": self._asked,
            "polls_unanswered": self._unanswered,
            "submitted": self._submitted,
            "accepted": self._accepted,
            "given_up": self._given_up,
            "open": len(self._open),
        }
