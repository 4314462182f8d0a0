"""The leader: begins and ends its terms, and passes requests and heartbeats to the term's duties.

Only the leader proposes records. It decides by the replicated state and by what heartbeats and the
cloud prove about the machines. Its commands reach the machines through the controllers that own
their shards: rendezvous hashing over the live members assigns each machine to one of them.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..protocol.formats import GANGS, LENDING
from ..runtime.actor import Actor
from .takeover import take_over
from .term import LeaderContext, Term
from .term_duties import TermDuties

if TYPE_CHECKING:
    from ..cluster.format_negotiation import FormatNegotiation
    from ..cluster.leader_election import LeaderElection
    from ..ledger.cluster_state import ClusterState
    from ..lending.feature import LendingFeature
    from ..protocol import wire
    from .commands import CommandTransport
    from .replies import OnReply

log = logging.getLogger(__name__)

NO_TERM = 0
"""The number of the term while this controller does not lead."""


class Leader(Actor):
    """The life cycle of terms. It does nothing while this controller does not lead."""

    def __init__(
        self,
        context: LeaderContext,
        *,
        election: LeaderElection,
        transport: CommandTransport,
        formats: FormatNegotiation,
        lending: LendingFeature | None = None,
    ) -> None:
        """`lending`: loans between teams are reclaimed; None: only ranks decide."""
        super().__init__(context.runtime)
        self._context = context
        self._election = election
        self._transport = transport
        self._formats = formats
        self._lending = lending
        self.duties = self._create_duties(NO_TERM, {})
        policy = context.policy
        self.every(policy.retry, self._watch)
        self.every(policy.plan_step, self._plan_fleet)
        self.every(max(context.settings.list_lag_s, policy.plan_step), self._list_machines)

    def _create_duties(self, number: int, machine_types: dict[str, wire.MachineType]) -> TermDuties:
        term = Term(number, self._context, machine_types)
        return TermDuties(term, self._transport, self._lending)

    @property
    def term(self) -> Term:
        """The term that runs; `NO_TERM` is its number while this controller does not lead."""
        return self.duties.term

    @property
    def state(self) -> ClusterState:
        """The replicated state."""
        return self._context.ledger.state

    # The life cycle of a term

    def begin_term(self, number: int, version: int) -> None:
        """This controller was elected. The term becomes active once the log has been replayed."""
        self.term.active = False
        self.duties = self._create_duties(number, self.term.machine_types)
        self._context.cloud.drop_queued_calls()
        self._context.limits.end_term()
        self._formats.begin(version)
        self._context.ledger.replay(version, self._on_replayed)

    def end_term(self) -> None:
        """This controller stepped down."""
        if self.term.number == NO_TERM:
            return
        self.term.active = False
        self._context.limits.end_term()
        self._formats.end()
        self._context.ledger.close()
        self._context.cloud.drop_queued_calls()
        self.duties = self._create_duties(NO_TERM, self.term.machine_types)

    def _on_replayed(self) -> None:
        term = self.term
        term.active = True
        term.began_at = self.runtime.now()
        self._election.mark_ready()
        # Before the replay it was unknown what counts against the limits.
        self._context.limits.begin_term(term.number)
        take_over(self.duties, self._transport)

    # A process that stood still

    def on_pause(self, lost_s: float) -> None:
        """The process stood still, and another may lead by now: leadership is confirmed first.

        Commits are guarded by themselves. Provisioning, terminations and commands wait.
        """
        term = self.term
        if term.number == NO_TERM:
            return
        term.pause_count += 1
        self.duties.on_pause(lost_s)
        self._context.cloud.pause_calls()
        if not term.suspended:
            term.suspended = True
            self._confirm_leadership(term)

    def _confirm_leadership(self, term: Term) -> None:
        """Resumes the term after a read barrier that no further pause interrupted."""
        if term is not self.term:
            return
        pause_count = term.pause_count

        def on_confirmed(is_leader: bool) -> None:
            if term is not self.term:
                return
            if not is_leader or pause_count != term.pause_count:
                self.later(self._context.policy.retry, self._confirm_leadership, term)
                return
            self._resume()

        self._context.ledger.confirm_leadership(on_confirmed)

    def _resume(self) -> None:
        term = self.term
        log.info("event=leadership_confirmed term=%d", term.number)
        term.suspended = False
        self._context.cloud.resume()
        self.duties.commands.resume()
        term.request_pass()

    # Requests of users and operators

    def submit(self, spec: wire.Spec, answer: OnReply) -> None:
        """Accepts a job, or answers why it is refused."""
        if self.term.active:
            self.duties.jobs.submit(spec, answer)
        else:
            answer(503, None)

    def query_status(self, ref: str, answer: OnReply) -> None:
        """Answers a job's state."""
        if self.term.active:
            self.duties.jobs.query_status(ref, answer)
        else:
            answer(503, None)

    def cancel(self, ref: str, answer: OnReply) -> None:
        """Cancels a job; the answer follows once none of its tasks can run any more."""
        if self.term.active:
            self.duties.jobs.cancel(ref, answer)
        else:
            answer(503, None)

    def query_loans(self, answer: OnReply) -> None:
        """Answers what the teams lend and borrow, for operators."""
        loan_accounts = self.duties.loan_accounts
        if not self.term.active:
            answer(503, None)
        elif loan_accounts is None:
            answer(404, {"error": "lending is not enabled at the leader"})
        else:
            loan_accounts.send_page(answer)

    # Heartbeats of machines

    def handle_heartbeat(self, server: str, heartbeat: wire.Heartbeat) -> None:
        """A machine's heartbeat, received by the controller `server`."""
        self.duties.heartbeat_handler.handle_heartbeat(server, heartbeat)

    def handle_liveness(self, server: str, machines: list[str]) -> None:
        """Machines that sent heartbeats to the controller `server` lately."""
        self.duties.heartbeat_handler.handle_liveness(server, machines)

    # Periodic duties

    def _watch(self) -> None:
        if self._may_act():
            self._raise_format()
            self.duties.watch()

    def _plan_fleet(self) -> None:
        if self._may_act():
            self.duties.plan_fleet()

    def _list_machines(self) -> None:
        if self._may_act():
            self.duties.list_machines()

    def _may_act(self) -> bool:
        """Whether the leader may provision, terminate, move and preempt.

        One that may be superseded only answers heartbeats and stops what it cancelled: machines
        that look silent, idle or slow to it may be at work for its successor.
        """
        if not self.term.active:
            return False
        if self._election.may_be_superseded != self.term.may_be_superseded:
            self._update_supersession()
        return self.term.may_act

    def _update_supersession(self) -> None:
        may_be_superseded = self._election.may_be_superseded
        self.term.may_be_superseded = may_be_superseded
        if may_be_superseded:
            log.info("event=supersession_possible term=%d", self.term.number)
            return
        log.info("event=supersession_ruled_out term=%d", self.term.number)
        self.duties.machine_monitor.reset_silence()
        self.term.request_pass()

    def _raise_format(self) -> None:
        """Once all configured controllers read a newer format, it may be written."""
        newest = LENDING if self._lending is not None else GANGS
        common = min(self._formats.common_format, newest)
        if common > self.state.format:
            self._context.ledger.raise_format(common)
