"""The users' interface: any controller takes any request and passes it to the leader."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from ..protocol import formats, wire
from ..runtime.actor import Actor

if TYPE_CHECKING:
    from ..cluster.format_negotiation import FormatNegotiation
    from ..cluster.leader_election import LeaderElection
    from ..cluster.messages import Frame
    from ..cluster.peer_links import PeerLinks
    from ..leader.leader import Leader
    from ..policy import Policy
    from ..runtime.http import Request
    from ..runtime.loop import Runtime, Timer

log = logging.getLogger(__name__)

RETRY_AFTER = 1
Answer = Callable[[int, Any], None]


class _PendingRequest:
    """A question passed to the leader of a term, until it is answered or its time is over.

    Each time it is passed it gets a new number: an answer counts only if it is the asked leader's
    to that.
    """

    __slots__ = ("answer", "asked", "number", "subject", "term", "timer", "until", "what")

    def __init__(self, what: str, subject: str | bytes, answer: Answer, until: float) -> None:
        self.until = until
        self.what, self.subject, self.answer = what, subject, answer
        self.number = self.term = 0
        self.asked: str | None = None
        self.timer: Timer | None = None


class JobApi(Actor):
    """Owns the questions under way between this node and the leader."""

    def __init__(
        self,
        runtime: Runtime,
        policy: Policy,
        election: LeaderElection,
        peers: PeerLinks,
        leader: Leader,
        beat: Callable[[Request], None],
        most: int,
        member_formats: FormatNegotiation,
    ) -> None:
        """`most`: questions under way at a time."""
        super().__init__(runtime)
        self._formats = member_formats
        self._most = most
        self._policy, self._election, self._peers, self._leader, self._beat = (
            policy,
            election,
            peers,
            leader,
            beat,
        )
        self._ids = itertools.count(election.incarnation)
        self._asked: dict[int, _PendingRequest] = {}
        self.route: Callable[[str, str | bytes, Answer], None] = self.ask_leader
        """How a user's question reaches who can answer it."""
        self.every(policy.heartbeat / 2, self._renew)

    def handle(self, request: Request) -> None:
        path = request.path.partition("?")[0]
        if path == wire.BEAT:
            self._only("POST", request, self._beat)
        elif path == wire.UP:
            self._only(
                "GET",
                request,
                lambda request: request.reply(200 if self._election.is_available else 503),
            )
        elif path == wire.WORK:
            self._only("POST", request, self._submit)
        elif path == wire.LOANS:
            self._only(
                "GET", request, lambda request: self.ask_leader("loans", "", self._answer(request))
            )
        elif path.startswith(wire.WORK + "/"):
            ref, _, verb = path[len(wire.WORK) + 1 :].partition("/")
            if verb == "cancel":
                self._only(
                    "POST",
                    request,
                    lambda request: self.route("cancel", ref, self._answer(request)),
                )
            elif verb:
                request.reply(404, {"error": "no such path"})
            else:
                self._only(
                    "GET", request, lambda request: self.route("poll", ref, self._answer(request))
                )
        else:
            request.reply(404, {"error": "no such path"})

    @staticmethod
    def _only(method: str, request: Request, handler: Callable[[Request], None]) -> None:
        if request.method == method:
            handler(request)
        else:
            request.reply(405, {"error": f"only {method}"})

    def _answer(self, request: Request) -> Answer:
        def answer(status: int, body: Any) -> None:
            if status in (429, 503):
                request.reply(status, {"error": "not now"}, RETRY_AFTER)
            else:
                request.reply(status, body)

        return answer

    def _submit(self, request: Request) -> None:
        answer = self._answer(request)
        try:
            spec = wire.parse_submission(request.body)
        except wire.InvalidSubmissionError as fault:
            self._malformed(request, str(fault), answer)
            return
        if spec.job_kind == wire.GANG and not self._leader_knows_gangs():
            answer(503, None)
            return
        self.route("submit", request.body, answer)

    def _leader_knows_gangs(self) -> bool:
        """A leader of an older version would place a gang task by task."""
        election = self._election
        if election.is_leader:
            return True
        leader = election.leader
        return leader is not None and self._formats.newest_format_of(leader) >= formats.GANGS

    def _malformed(self, request: Request, why: str, answer: Answer) -> None:
        """A known job's submission is answered with its state, whatever its body has become."""
        try:
            body = msgspec.msgpack.decode(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            body = None
        ref = body.get("ref") if isinstance(body, dict) else None
        if not isinstance(ref, str) or not wire.JOB_ID.match(ref):
            request.reply(400, {"error": why})
            return

        def told(status: int, state: Any) -> None:
            if status == 404:
                request.reply(400, {"error": why})
            else:
                answer(status, state)

        self.route("poll", ref, told)

    # To the leader

    def ask_leader(self, what: str, subject: str | bytes, answer: Answer) -> None:
        """Passes a question to the leader; answers 503 at once when that can't be."""
        election = self._election
        leader = election.leader
        if (
            leader is None
            or not self._peers.is_directly_reachable(leader)
            or not election.is_available
            or len(self._asked) >= self._most
        ):
            answer(503, None)
            return
        patience = self._policy.ask
        question = _PendingRequest(
            what, subject, answer, self.runtime.now() + patience + self._policy.process_pause
        )
        question.timer = self.later(patience, self._unanswered, question)
        self._pass(question)

    def _pass(self, question: _PendingRequest) -> None:
        election = self._election
        self._asked.pop(question.number, None)
        number = question.number = next(self._ids)
        self._asked[number] = question
        question.term, question.asked = election.term, election.leader
        if election.is_leader:
            self._serve(
                question.what,
                question.subject,
                lambda status, body: self._told(number, status, body),
            )
        elif election.leader is not None:
            frame = {"k": "ask", "i": number, "w": question.what, "s": question.subject}
            self._peers.send(election.leader, frame)

    def _renew(self) -> None:
        """Questions that went to a leader that is none any more are passed to its successor."""
        served = self._election.served_term
        if served:
            for question in [
                question for question in self._asked.values() if question.term < served
            ]:
                self._pass(question)

    def _unanswered(self, question: _PendingRequest) -> None:
        question.timer = None
        self._told(question.number, 503, None)

    def _told(self, number: int, status: int, body: Any) -> None:
        question = self._asked.get(number)
        if question is None:
            return
        if self.runtime.now() > question.until:
            # After a pause of this process it may be older than what others were told since.
            status, body = 503, None
        elif status == 503 and question.term < self._election.term and question.timer is not None:
            # Its leader gave up leading; the successor is asked as soon as it is ready.
            return
        del self._asked[number]
        if question.timer is not None:
            question.timer.cancel()
        question.answer(status, body)

    def asked(self, sender: str, frame: Frame) -> None:
        """Another node passes a user's question on."""
        number = frame.get("i")

        def answer(status: int, body: Any) -> None:
            reply = msgspec.to_builtins(body)
            self._peers.send(sender, {"k": "ans", "i": number, "s": status, "b": reply})

        if self._election.is_leader:
            self._serve(str(frame.get("w")), frame.get("s"), answer)
        else:
            answer(503, None)

    def answered(self, sender: str, frame: Frame) -> None:
        number, status = frame.get("i"), frame.get("s")
        if not (isinstance(number, int) and isinstance(status, int)):
            log.warning("an answer of %s to a question is none", sender)
            return
        question = self._asked.get(number)
        if question is not None and question.asked == sender:
            self._told(number, status, frame.get("b"))

    def _serve(self, what: str, subject: Any, answer: Answer) -> None:
        if what == "submit" and isinstance(subject, bytes):
            try:
                spec = wire.parse_submission(subject)
            except wire.InvalidSubmissionError as fault:
                answer(400, {"error": str(fault)})
                return
            self._leader.submit(spec, answer)
        elif what == "poll" and isinstance(subject, str):
            self._leader.query_status(subject, answer)
        elif what == "cancel" and isinstance(subject, str):
            self._leader.cancel(subject, answer)
        elif what == "loans":
            self._leader.query_loans(answer)
        else:
            log.warning("a question that is none: %s", what)
            answer(400, {"error": "not a question"})
