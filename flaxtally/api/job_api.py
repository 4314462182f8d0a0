"""The HTTP interface: any controller takes any request and forwards it to the leader."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from ..protocol import formats, wire
from .leader_requests import OnReply, RequestKind

if TYPE_CHECKING:
    from ..cluster.format_negotiation import FormatNegotiation
    from ..cluster.leader_election import LeaderElection
    from ..runtime.http import Request
    from .heartbeat_endpoint import HeartbeatEndpoint
    from .leader_requests import LeaderRequests

OK, BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED = 200, 400, 404, 405
TOO_MANY_REQUESTS, UNAVAILABLE = 429, 503
RETRY_AFTER_S = 1
JOB_PREFIX = wire.JOBS + "/"
RequestRouter = Callable[[str, str | bytes, OnReply], None]
"""Passes a user's request (its kind and subject) to whoever can answer it."""


class JobApi:
    """Answers HTTP requests of users, probes and workers."""

    def __init__(
        self,
        election: LeaderElection,
        member_formats: FormatNegotiation,
        heartbeats: HeartbeatEndpoint,
        requests: LeaderRequests,
        route: RequestRouter,
    ) -> None:
        """`route`: the way of requests on jobs, which in a fleet of cells leads to the job's cell.

        `requests`: the way to the leader of this controller's own cell.
        """
        self._election = election
        self._formats = member_formats
        self._heartbeats = heartbeats
        self._requests = requests
        self._route = route

    def handle_request(self, request: Request) -> None:
        """Answers a request, now or once the leader has answered it."""
        path = request.path.partition("?")[0]
        if path == wire.HEARTBEAT:
            self._require_method("POST", request, self._heartbeats.handle_heartbeat)
        elif path == wire.HEALTH:
            self._require_method("GET", request, self._answer_availability)
        elif path == wire.JOBS:
            self._require_method("POST", request, self._submit)
        elif path == wire.LOANS:
            self._require_method("GET", request, self._answer_loans)
        elif path.startswith(JOB_PREFIX):
            self._handle_job_request(request, path[len(JOB_PREFIX) :])
        else:
            request.reply(NOT_FOUND, {"error": "no such path"})

    def _handle_job_request(self, request: Request, job_path: str) -> None:
        ref, _, verb = job_path.partition("/")
        if verb == "cancel":
            self._require_method("POST", request, self._route_to_job(RequestKind.CANCEL, ref))
        elif verb:
            request.reply(NOT_FOUND, {"error": "no such path"})
        else:
            self._require_method("GET", request, self._route_to_job(RequestKind.POLL, ref))

    @staticmethod
    def _require_method(method: str, request: Request, handler: Callable[[Request], None]) -> None:
        if request.method == method:
            handler(request)
        else:
            request.reply(METHOD_NOT_ALLOWED, {"error": f"only {method}"})

    def _route_to_job(self, kind: RequestKind, ref: str) -> Callable[[Request], None]:
        return lambda request: self._route(kind, ref, _reply_to(request))

    def _answer_availability(self, request: Request) -> None:
        request.reply(OK if self._election.is_available else UNAVAILABLE)

    def _answer_loans(self, request: Request) -> None:
        self._requests.forward_to_leader(RequestKind.LOANS, "", _reply_to(request))

    # Submissions

    def _submit(self, request: Request) -> None:
        try:
            spec = wire.parse_submission(request.body)
        except wire.InvalidSubmissionError as error:
            self._answer_malformed_submission(request, str(error))
            return
        on_reply = _reply_to(request)
        if spec.job_kind == wire.GANG and not self._does_leader_know_gangs():
            on_reply(UNAVAILABLE, None)
            return
        self._route(RequestKind.SUBMIT, request.body, on_reply)

    def _does_leader_know_gangs(self) -> bool:
        """A leader of an older version would place a gang task by task."""
        if self._election.is_leader:
            return True
        leader = self._election.leader
        return leader is not None and self._formats.newest_format_of(leader) >= formats.GANGS

    def _answer_malformed_submission(self, request: Request, error: str) -> None:
        """A known job's submission is answered with its state, whatever its body has become."""
        ref = _ref_in(request.body)
        if ref is None:
            request.reply(BAD_REQUEST, {"error": error})
            return
        answer_user = _reply_to(request)

        def on_reply(status: int, state: Any) -> None:
            if status == NOT_FOUND:
                request.reply(BAD_REQUEST, {"error": error})
            else:
                answer_user(status, state)

        self._route(RequestKind.POLL, ref, on_reply)


def _reply_to(request: Request) -> OnReply:
    """A callback that answers the user's request."""

    def on_reply(status: int, body: Any) -> None:
        if status in (TOO_MANY_REQUESTS, UNAVAILABLE):
            request.reply(status, {"error": "not now"}, RETRY_AFTER_S)
        else:
            request.reply(status, body)

    return on_reply


def _ref_in(submission: bytes) -> str | None:
    """The job's id in a submission that is otherwise malformed."""
    try:
        body = msgspec.msgpack.decode(submission)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    ref = body.get("ref") if isinstance(body, dict) else None
    return ref if isinstance(ref, str) and wire.JOB_ID.match(ref) else None
