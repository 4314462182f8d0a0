"""A leader's term: what its duties share for as long as the term lasts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..lending.entitlement import NO_RESOURCES, Amounts, Quota
from ..runtime.actor import Actor
from .fleet import Fleet
from .pass_requests import PassRequests

if TYPE_CHECKING:
    import random

    from ..clients.cloud import Cloud
    from ..ledger.write_ahead_log import WriteAheadLog
    from ..policy import Policy
    from ..protocol import wire
    from ..runtime.loop import Runtime
    from ..settings import Settings
    from .team_limits import TeamLimits


@dataclass(frozen=True, kw_only=True)
class LeaderContext:
    """What a leader works with in all of its terms."""

    runtime: Runtime
    settings: Settings
    policy: Policy
    ledger: WriteAheadLog
    cloud: Cloud
    rng: random.Random
    limits: TeamLimits


class Term:
    """One term of a leader. Once it is over, `active` stays false, and late answers end there."""

    def __init__(
        self, number: int, context: LeaderContext, machine_types: dict[str, wire.MachineType]
    ) -> None:
        """`number`: 0 while this controller does not lead; also the term's fencing token.

        `machine_types`: those that an earlier term knew.
        """
        self.number = number
        self.runtime = context.runtime
        self.settings = context.settings
        self.policy = context.policy
        self.ledger = context.ledger
        self.cloud = context.cloud
        self.rng = context.rng
        self.limits = context.limits
        self.machine_types = machine_types
        self.active = False
        self.may_be_superseded = False
        """Another controller may lead by now: see `LeaderElection.may_be_superseded`."""
        self.suspended = False
        """The process stood still, and leadership has not been confirmed since."""
        self.pause_count = 0
        """How often the process stood still: what timed out across a pause proves nothing."""
        self.began_at = context.runtime.now()
        self.fleet = Fleet(context.runtime, context.ledger, context.settings.zones)
        self.pass_requests = PassRequests()

    def request_pass(self) -> None:
        """Asks the scheduler for a pass over the pending jobs."""
        self.pass_requests.publish()

    def quota(self, team: str) -> Quota:
        """A team's quota as it is now."""
        return Quota.from_settings(self.limits.find_team(team))

    def team_usage(self, team: str) -> Amounts:
        """The resources of a team's placements, from proposal until they are proven to be over."""
        usage = self.ledger.state.usage_by_team.get(team)
        return Amounts(usage.cores, usage.gpus) if usage is not None else NO_RESOURCES

    @property
    def may_act(self) -> bool:
        """Whether it may provision, terminate, send commands, move and preempt."""
        return self.active and not self.may_be_superseded and not self.suspended


class TermActor(Actor):
    """One duty of the leader, for one term."""

    def __init__(self, term: Term) -> None:
        """Gives the duty the term's collaborators as its own members."""
        super().__init__(term.runtime)
        self.term = term
        self.fleet = term.fleet
        self.settings = term.settings
        self.policy = term.policy
        self.ledger = term.ledger
        self.cloud = term.cloud
        self.rng = term.rng
