"""The leader: begins and ends its terms, and passes requests and heartbeats to the term's duties.

Only the leader proposes records. It decides from the replicated state and from what heartbeats and
the cloud prove about the machines. The controllers that own the machines' shards send its commands
to them: rendezvous hashing over the live members assigns each machine to one controller.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..protocol.formats import GANGS, LENDING
from ..runtime.actor import Actor
from .suspension import Suspension
from .takeover import take_over
from .term import LeaderContext, Term
from .term_duties import TermDuties

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..cluster.format_negotiation import FormatNegotiation
    from ..cluster.leader_election import LeaderElection
    from ..ledger.cluster_state import ClusterState
    from ..lending.feature import LendingFeature
    from ..protocol import wire
    from .commands import CommandTransport
    from .replies import OnReply

log = logging.getLogger(__name__)

NO_TERM = 0
"""The term number of a controller that does not lead."""


class Leader(Actor):
    """Runs the life cycle of terms. It does nothing while this controller does not lead."""

    def __init__(
        self,
        context: LeaderContext,
        *,
        election: LeaderElection,
        transport: CommandTransport,
        formats: FormatNegotiation,
        lending: LendingFeature | None = None,
    ) -> None:
        """Starts the periodic duties, which do nothing before a term begins.

        `lending`: the feature by which loans between teams are reclaimed; None if it is disabled:
        then only ranks decide who is preempted.
        """
        super().__init__(context.runtime)
        self._context = context
        self._election = election
        self._transport = transport
        self._formats = formats
        self._lending = lending
        self._begin_duties(NO_TERM, {})
        context.cloud.guard_changes(self._confirm_authority)
        self.runtime.on_pause(context.policy.heartbeat, self._on_short_pause)
        policy = context.policy
        self.every(policy.retry, self._run_periodic_checks)
        self.every(policy.plan_step, self._plan_fleet)
        self.every(max(context.settings.list_lag_s, policy.plan_step), self._list_machines)

    def _begin_duties(self, number: int, machine_types: dict[str, wire.MachineType]) -> None:
        """Creates a term that is not active yet, and its duties."""
        term = Term(number, self._context, machine_types)
        self.duties = TermDuties(term, self._transport, self._raise_token, self._lending)
        self._suspension = Suspension(term, self._on_leadership_confirmed)
        term.on_higher_token = self._suspension.handle_higher_token

    @property
    def term(self) -> Term:
        """The current term; its number is `NO_TERM` while this controller does not lead."""
        return self.duties.term

    @property
    def state(self) -> ClusterState:
        """The replicated state."""
        return self._context.ledger.state

    # The life cycle of a term

    def begin_term(self, number: int, leader_key_version: int) -> None:
        """Begins a term after this controller was elected; it is active once the log is replayed.

        `number`: the term's number and fencing token. `leader_key_version`: the version of the
        leader key that this controller holds.
        """
        self.term.end()
        self._begin_duties(number, self.term.machine_types)
        self._context.cloud.drop_queued_calls()
        self._context.limits.end_term()
        self._formats.begin_term(leader_key_version)
        self._context.ledger.replay(leader_key_version, self._on_replayed)

    def end_term(self) -> None:
        """Ends the term after this controller stepped down; does nothing if it was not leading."""
        if self.term.number == NO_TERM:
            return
        self.term.end()
        self._context.limits.end_term()
        self._formats.end_term()
        self._context.ledger.close()
        self._context.cloud.drop_queued_calls()
        self._begin_duties(NO_TERM, self.term.machine_types)

    def _on_replayed(self) -> None:
        term = self.term
        term.active = True
        term.began_at = self.runtime.now()
        self._election.mark_ready()
        # The usage that counts against the limits is known only after the replay.
        self._context.limits.begin_term(term.number)
        take_over(self.duties, self._transport)

    def _raise_token(self) -> None:
        """Takes a further term and leads on in it: its number is the new fencing token."""
        record = self._election.begin_term_raise()
        self.term.begin_raise(record.term)
        self._context.ledger.change_leader_key(record.to_value(), self._on_token_raised)

    def _on_token_raised(self, leader_key_version: int) -> None:
        if not self._election.leads_term(self.term.pending_number):
            return  # this controller has stepped down, and the term ends
        self._formats.change_leader_key_version(leader_key_version)
        self.term.complete_raise()
        # The followers are told before commands under the new token reach them.
        self._election.complete_term_raise(leader_key_version)
        self.duties.on_token_raised()

    # Signs that another controller leads

    def on_pause(self, pause_s: float) -> None:
        """Suspends the term after the process was paused, and extends the deadlines."""
        if self.term.number == NO_TERM:
            return
        self.duties.on_pause(pause_s)
        self._suspension.handle_pause()

    def _on_short_pause(self, _pause_s: float) -> None:
        self.term.authority.on_short_pause()

    def handle_higher_token(self, machine: str, token: int) -> None:
        """Suspends the term if a machine reports a fencing token that only a later leader sent."""
        if self.term.active and self.term.is_later_token(token):
            self._suspension.handle_higher_token(machine, token)

    def _confirm_authority(
        self, on_confirmed: Callable[[], None], on_denied: Callable[[], None]
    ) -> None:
        self.term.authority.confirm(on_confirmed, on_denied)

    def _on_leadership_confirmed(self) -> None:
        self.duties.commands.resume()
        self.term.request_pass()

    # Requests of users and operators

    def submit(self, spec: wire.Spec, on_reply: OnReply) -> None:
        """Accepts a job, or replies why it is rejected."""
        if self.term.active:
            self.duties.jobs.submit(spec, on_reply)
        else:
            on_reply(503, None)

    def query_status(self, ref: str, on_reply: OnReply) -> None:
        """Replies with a job's status."""
        if self.term.active:
            self.duties.jobs.query_status(ref, on_reply)
        else:
            on_reply(503, None)

    def cancel(self, ref: str, on_reply: OnReply) -> None:
        """Cancels a job; replies once none of its tasks can run any more."""
        if self.term.active:
            self.duties.jobs.cancel(ref, on_reply)
        else:
            on_reply(503, None)

    def query_loans(self, on_reply: OnReply) -> None:
        """Replies with what the teams lend and borrow, for operators."""
        loan_accounts = self.duties.loan_accounts
        if not self.term.active:
            on_reply(503, None)
        elif loan_accounts is None:
            on_reply(404, {"error": "lending is not enabled at the leader"})
        else:
            loan_accounts.send_page(on_reply)

    # Heartbeats of machines

    def handle_heartbeat(self, controller: str, heartbeat: wire.Heartbeat) -> None:
        """Processes a machine's heartbeat that `controller` received."""
        self.duties.heartbeat_handler.handle_heartbeat(controller, heartbeat)

    def handle_liveness(self, controller: str, machines: list[str]) -> None:
        """Records that these machines recently sent heartbeats to `controller`."""
        self.duties.heartbeat_handler.handle_liveness(controller, machines)

    # Periodic duties

    def _run_periodic_checks(self) -> None:
        if self._may_act():
            self._upgrade_format()
            self.duties.run_periodic_checks()

    def _plan_fleet(self) -> None:
        if self._may_act():
            self.duties.plan_fleet()

    def _list_machines(self) -> None:
        if self._may_act():
            self.duties.list_machines()

    def _may_act(self) -> bool:
        """Whether the leader may provision, terminate, move and preempt.

        A leader that may be superseded only replies to heartbeats and stops cancelled tasks:
        machines that look dead, idle or slow to it may be working for its successor.
        """
        if not self.term.active:
            return False
        if self._election.may_be_superseded != self.term.authority.may_be_superseded:
            self._update_supersession()
        return self.term.may_act

    def _update_supersession(self) -> None:
        may_be_superseded = self._election.may_be_superseded
        self.term.authority.may_be_superseded = may_be_superseded
        if may_be_superseded:
            log.info(
                "event=supersession_possible term=%d unreachable=%s",
                self.term.number,
                ",".join(self._election.list_unreachable_peers()),
            )
            return
        log.info("event=supersession_ruled_out term=%d", self.term.number)
        self.duties.machine_monitor.reset_missing_heartbeats()
        self.term.request_pass()

    def _upgrade_format(self) -> None:
        """Starts to write a newer format once all configured controllers can read it."""
        newest = LENDING if self._lending is not None else GANGS
        common = min(self._formats.common_format, newest)
        if common > self.state.format:
            self._context.ledger.raise_format(common)
