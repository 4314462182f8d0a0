"""Forwards users' requests to the leader, and replies to those that other controllers forward.

A reply counts only if it is from the leader that the request was sent to. When that leader is
replaced, the request is sent again, to its successor.
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING, Any

from ..cluster.messages import JobRequest, JobResponse, to_frame
from ..protocol import wire
from ..runtime.actor import Actor

if TYPE_CHECKING:
    from ..cluster.leader_election import LeaderElection
    from ..cluster.peer_links import PeerLinks
    from ..leader.leader import Leader
    from ..policy import Policy
    from ..runtime.loop import Runtime, Timer

log = logging.getLogger(__name__)

OnReply = Callable[[int, Any], None]
"""Gets the HTTP status and body of the reply to a user."""
BAD_REQUEST, UNAVAILABLE = 400, 503


class RequestKind(StrEnum):
    """Kinds of users' requests to the leader; the values are those of the wire protocol."""

    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"
    LOANS = "loans"


@dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request sent to the leader of a term, until it is replied to or times out.

    It gets a new number each time it is sent. A reply counts only if it has the latest number and
    comes from the leader that the request was sent to.
    """

    kind: str
    subject: str | bytes
    on_reply: OnReply
    deadline_at: float
    number: int = 0
    term: int = 0
    leader: str | None = None
    timer: Timer | None = None


class LeaderRequests(Actor):
    """Tracks the pending requests of this controller to the leader."""

    def __init__(
        self,
        runtime: Runtime,
        policy: Policy,
        election: LeaderElection,
        peers: PeerLinks,
        leader: Leader,
        max_pending: int,
    ) -> None:
        """`max_pending`: the maximum count of pending requests."""
        super().__init__(runtime)
        self._policy = policy
        self._election = election
        self._peers = peers
        self._leader = leader
        self._max_pending = max_pending
        self._numbers = itertools.count(election.incarnation)
        self._pending: dict[int, _PendingRequest] = {}
        """By the number of the request."""
        self.every(policy.heartbeat / 2, self._resend_to_successor)

    def forward_to_leader(self, kind: str, subject: str | bytes, on_reply: OnReply) -> None:
        """Forwards a request to the leader; replies 503 at once if that is not possible.

        `kind` is a string of the wire protocol: a newer leader may support kinds that this program
        does not know.
        """
        if not self._can_forward():
            on_reply(UNAVAILABLE, None)
            return
        timeout_s = self._policy.ask
        deadline_at = self.runtime.now() + timeout_s + self._policy.process_pause
        request = _PendingRequest(kind, subject, on_reply, deadline_at)
        request.timer = self.later(timeout_s, self._on_timeout, request)
        self._send(request)

    def _can_forward(self) -> bool:
        leader = self._election.leader
        return (
            leader is not None
            and self._peers.is_directly_reachable(leader)
            and self._election.is_available
            and len(self._pending) < self._max_pending
        )

    def _send(self, request: _PendingRequest) -> None:
        election = self._election
        self._pending.pop(request.number, None)
        number = next(self._numbers)
        request.number = number
        request.term = election.term
        request.leader = election.leader
        self._pending[number] = request
        if election.is_leader:
            self._serve(request.kind, request.subject, partial(self._complete, number))
        elif election.leader is not None:
            message = JobRequest(number=number, operation=request.kind, subject=request.subject)
            self._peers.send(election.leader, to_frame(message))

    def _resend_to_successor(self) -> None:
        """Sends requests that went to the leader of an earlier term again, to the current one."""
        served_term = self._election.served_term
        if served_term:
            outdated = [request for request in self._pending.values() if request.term < served_term]
            for request in outdated:
                self._send(request)

    def _on_timeout(self, request: _PendingRequest) -> None:
        request.timer = None
        self._complete(request.number, UNAVAILABLE, None)

    def _complete(self, number: int, status: int, body: Any) -> None:
        request = self._pending.get(number)
        if request is None:
            return
        if self.runtime.now() > request.deadline_at:
            # After a pause of this process, the reply may be older than replies that others have
            # received since.
            status = UNAVAILABLE
            body = None
        elif (
            status == UNAVAILABLE
            and request.term < self._election.term
            and request.timer is not None
        ):
            # That leader has stepped down; the request goes to its successor once that is ready.
            return
        del self._pending[number]
        if request.timer is not None:
            request.timer.cancel()
        request.on_reply(status, body)

    def handle_response(self, sender: str, response: JobResponse) -> None:
        """Handles the leader's reply to a request that this controller forwarded."""
        request = self._pending.get(response.number)
        if request is not None and request.leader == sender:
            self._complete(response.number, response.status, response.body)

    # At the leader

    def handle_request(self, sender: str, request: JobRequest) -> None:
        """Handles a user's request that another controller forwarded."""

        def on_reply(status: int, body: Any) -> None:
            response = JobResponse(number=request.number, status=status, body=body)
            self._peers.send(sender, to_frame(response))

        if self._election.is_leader:
            self._serve(request.operation, request.subject, on_reply)
        else:
            on_reply(UNAVAILABLE, None)

    def _serve(self, kind: str, subject: Any, on_reply: OnReply) -> None:
        match kind, subject:
            case RequestKind.SUBMIT, bytes():
                self._submit(subject, on_reply)
            case RequestKind.POLL, str():
                self._leader.query_status(subject, on_reply)
            case RequestKind.CANCEL, str():
                self._leader.cancel(subject, on_reply)
            case RequestKind.LOANS, _:
                self._leader.query_loans(on_reply)
            case _:
                log.warning("unsupported request of kind %s, replying with status 400", kind)
                on_reply(BAD_REQUEST, {"error": "not a question"})

    def _submit(self, submission: bytes, on_reply: OnReply) -> None:
        try:
            spec = wire.parse_submission(submission)
        except wire.InvalidSubmissionError as error:
            on_reply(BAD_REQUEST, {"error": str(error)})
            return
        self._leader.submit(spec, on_reply)
