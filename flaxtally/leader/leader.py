"""The leader: decides, by the ledger and by what is proven about the machines.

It alone proposes records. What it decides goes out through the parts (the controllers that the live
view's hashing gives each machine to): they answer the machines' reports and carry its orders. Here
its duties (`leader/`) are wired, anew for each term.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from ..protocol import wire
from ..protocol.formats import GANGS, LENDING
from ..runtime.actor import Actor
from .autoscaling.autoscaler import Autoscaler
from .autoscaling.consolidation import Consolidation
from .commands import CommandSender, CommandTransport
from .gang_scheduling.gang_scheduler import GangScheduler
from .jobs import Answer, JobRegistry
from .reclaim.quota_reclaim import QuotaReclaim
from .reconciliation.failure_attribution import FailureAttribution
from .reconciliation.reconciler import Reconciler
from .reconciliation.stragglers import Stragglers
from .scheduling.scheduler import Scheduler
from .term import Term

if TYPE_CHECKING:
    import random

    from ..clients.cloud import Cloud
    from ..cluster.format_negotiation import FormatNegotiation
    from ..cluster.leader_election import LeaderElection
    from ..ledger.cluster_state import ClusterState
    from ..ledger.write_ahead_log import WriteAheadLog
    from ..lending.feature import LendingFeature
    from ..policy import Policy
    from ..runtime.loop import Runtime
    from ..settings import Settings
    from .reclaim.loan_accounts import LoanAccounts
    from .team_limits import TeamLimits

log = logging.getLogger(__name__)


class Leader(Actor):
    """Begins and ends terms. Does nothing while this node doesn't lead."""

    def __init__(
        self,
        runtime: Runtime,
        settings: Settings,
        policy: Policy,
        ledger: WriteAheadLog,
        cloud: Cloud,
        election: LeaderElection,
        carrier: CommandTransport,
        rng: random.Random,
        limits: TeamLimits,
        formats: FormatNegotiation,
        lending: LendingFeature | None = None,
    ) -> None:
        """`quota_reclaim`: loans between teams are recalled; None: ranks alone decide."""
        super().__init__(runtime)
        self._limits, self._formats, self._lending = limits, formats, lending
        self._settings, self._policy, self._ledger, self._cloud = settings, policy, ledger, cloud
        self._election, self._carrier, self._rng = election, carrier, rng
        self._wire(0)
        self.every(policy.retry, self._watch)
        self.every(policy.plan_step, self._plan)
        self.every(max(settings.list_lag_s, policy.plan_step), self._list)

    def _wire(self, number: int, kinds: dict[str, wire.MachineType] | None = None) -> None:
        self.term = term = Term(
            number,
            self.runtime,
            self._settings,
            self._policy,
            self._ledger,
            self._cloud,
            self._rng,
            kinds or {},
            self._limits,
        )
        self.commands = CommandSender(term, self._carrier)
        self.jobs = JobRegistry(term, self.commands)
        self.stragglers = Stragglers(term, self.jobs, self.commands)
        self.failure_attribution = FailureAttribution(term, self.jobs)
        self.gang_scheduler = GangScheduler(term, self.jobs, self.commands)
        self.reconciler = Reconciler(
            term,
            self.jobs,
            self.commands,
            self.stragglers,
            self.failure_attribution,
            self.gang_scheduler,
        )
        self.quota_reclaim = QuotaReclaim(
            term, self.jobs, self.commands, self.gang_scheduler, self._lending
        )
        self.loan_accounts = self._accounts(self._lending)
        self.quota_reclaim.is_schedulable = self.reconciler.is_schedulable
        self.scheduler = Scheduler(
            term, self.jobs, self.reconciler, self.commands, self.gang_scheduler, self.quota_reclaim
        )
        self.autoscaler = Autoscaler(term, self.jobs, self.reconciler, self.commands)
        self.quota_reclaim.is_in_backoff = self.autoscaler.is_in_backoff
        self.consolidation = Consolidation(
            term, self.jobs, self.reconciler, self.commands, self.autoscaler, self.scheduler
        )

    def _accounts(self, lending: LendingFeature | None) -> LoanAccounts | None:
        if lending is None:
            return None
        # Imported here: a controller without the feature does without.
        from .reclaim.loan_accounts import LoanAccounts

        return LoanAccounts(self.term, self.jobs, self.quota_reclaim, lending.accounts_every_s)

    @property
    def state(self) -> ClusterState:
        return self._ledger.state

    # Leading begins and ends

    def on_begin(self, number: int, version: int) -> None:
        self.term.active = False
        self._wire(number, self.term.machine_types)
        self._cloud.forget()
        self._limits.end()
        self._formats.begin(version)
        self._ledger.replay(version, self._ready)

    def on_end(self) -> None:
        if self.term.number:
            self.term.active = False
            self._limits.end()
            self._formats.end()
            self._ledger.close()
            self._cloud.forget()
            self._wire(0, self.term.machine_types)

    def on_pause(self, lost: float) -> None:
        """The process stood still, and others may lead by now: leadership is confirmed first.

        Commits are guarded by themselves. Rents, releases and orders wait.
        """
        term = self.term
        if not term.number:
            return
        term.pause_count += 1
        self.reconciler.on_pause(lost)
        self.stragglers.on_pause()
        self._cloud.hold()
        if not term.suspended:
            term.suspended = True
            self._confirm_leadership(term)

    def _confirm_leadership(self, term: Term) -> None:
        pauses = term.pause_count

        def told(leading: bool) -> None:
            if term is not self.term:
                return
            if not leading or pauses != term.pause_count:
                self.later(self._policy.retry, self._confirm_leadership, term)
                return
            log.info("event=leadership_confirmed term=%d", term.number)
            term.suspended = False
            self._cloud.resume()
            self.commands.resume()
            term.request_pass()

        if term is self.term:
            self._ledger.confirm_leadership(told)

    def _ready(self) -> None:
        term, now = self.term, self.runtime.now()
        term.active = True
        term.began_at = now
        self._election.mark_ready()
        # Only now is it known what counts against the limits.
        self._limits.begin(term.number)
        self.jobs.restore()
        self.quota_reclaim.restore()
        for report in self._carrier.recent_heartbeats():
            machine = term.fleet.add_machine(
                report.machine, report.machine_type, report.zone, report.spot
            )
            machine.address, machine.is_booting = report.address, False
            machine.incarnation = report.incarnation
        for name, there in self.state.placements_by_machine.items():
            # Its type is not known before it reports or is listed.
            term.fleet.add_machine(
                name, "", next(iter(there.values())).zone, False
            ).is_booting = False
        for machine in term.fleet.machines.values():
            machine.last_heartbeat_at = now + self._policy.settle / 2
            self.commands.send_fencing_token(machine)
        if not term.machine_types:
            kinds = msgspec.convert(self.state.catalog, list[wire.MachineType])
            term.machine_types = {kind.name: kind for kind in kinds}
        self.autoscaler.load_machine_types()
        self.reconciler.scale_in.list_machines()
        term.request_pass()

    # Users and machines

    def submit(self, spec: wire.Spec, answer: Answer) -> None:
        if self.term.active:
            self.jobs.submit(spec, answer)
        else:
            answer(503, None)

    def poll(self, ref: str, answer: Answer) -> None:
        if self.term.active:
            self.jobs.query_status(ref, answer)
        else:
            answer(503, None)

    def cancel(self, ref: str, answer: Answer) -> None:
        if self.term.active:
            self.jobs.cancel(ref, answer)
        else:
            answer(503, None)

    def loans(self, answer: Answer) -> None:
        """What the teams lend and borrow, for operators."""
        if not self.term.active:
            answer(503, None)
        elif self.loan_accounts is None:
            answer(404, {"error": "lending is not enabled at the leader"})
        else:
            self.loan_accounts.answer(answer)

    def handle_heartbeat(self, server: str, report: wire.Heartbeat) -> None:
        """A worker's report, taken by the part `server`."""
        self.reconciler.handle_heartbeat(server, report)

    def handle_liveness(self, server: str, machines: list[str]) -> None:
        """Machines that reported to the part `server` lately."""
        self.reconciler.handle_liveness(server, machines)

    # What comes again and again

    def _may_act(self) -> bool:
        """Whether the leader may rent, release, move and preempt.

        An isolated one answers reports and stops what it cancelled, no more: the machines that are
        silent, idle or slow to it may be at work for its successor.
        """
        if not self.term.active:
            return False
        isolated = self._election.may_be_superseded
        if isolated != self.term.may_be_superseded:
            self.term.may_be_superseded = isolated
            log.info("event=%s term=%d", "isolated" if isolated else "in_touch", self.term.number)
            if not isolated:
                self.reconciler.reset_silence()
                self.term.request_pass()
        return self.term.may_act

    def _watch(self) -> None:
        if self._may_act():
            self._raise_format()
            self.reconciler.watch()
            self.stragglers.watch()
            self.gang_scheduler.watch()
            self.quota_reclaim.watch()
            self.consolidation.continue_moves(self.runtime.now())
            self.reconciler.scale_in.flush()
            self.scheduler.reconcile()
            self.scheduler.wake()
            # With each plan alone it fell behind where jobs are many and short.
            self._ledger.compact()

    def _raise_format(self) -> None:
        """Once all configured controllers read a newer format, it may be written."""
        newest = LENDING if self._lending is not None else GANGS
        common = min(self._formats.common_format, newest)
        if common > self.state.format:
            self._ledger.raise_format(common)

    def _plan(self) -> None:
        if self._may_act():
            self.autoscaler.scale(self.consolidation.consolidate)
            if self.loan_accounts is not None:
                self.loan_accounts.sample()

    def _list(self) -> None:
        if self._may_act():
            self.reconciler.scale_in.list_machines()
