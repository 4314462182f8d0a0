"""A leader's term: the state that its duties share while the term lasts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..lending.entitlement import NO_RESOURCES, Amounts, Quota
from ..runtime.actor import Actor
from .authority import Authority
from .fleet import Fleet
from .pass_requests import PassRequests

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..clients.cloud import Cloud
    from ..ledger.write_ahead_log import WriteAheadLog
    from ..policy import Policy
    from ..protocol import wire
    from ..runtime.loop import Runtime
    from ..settings import Settings
    from .authority import Leadership
    from .team_limits import TeamLimits


@dataclass(frozen=True, kw_only=True)
class LeaderContext:
    """The collaborators of a leader in all of its terms."""

    runtime: Runtime
    settings: Settings
    policy: Policy
    ledger: WriteAheadLog
    cloud: Cloud
    rng: random.Random
    limits: TeamLimits
    leadership: Leadership


def _ignore_token(_machine: str, _token: int) -> None:
    """Ignores a fencing token that a machine reports while this controller does not lead."""


class Term:
    """One term of a leader.

    `active` is true from the end of the log's replay to the end of the term. Replies that arrive
    later are ignored. Its number rises when the leader takes a further term and leads on: a fencing
    token above that of commands sent before, of which no copy is executed any more.
    """

    def __init__(
        self, number: int, context: LeaderContext, machine_types: dict[str, wire.MachineType]
    ) -> None:
        """Creates a term that is not active yet.

        `number`: the term's number and fencing token; 0 while this controller does not lead.
        `machine_types`: the machine types that an earlier term knew, by name.
        """
        self.number = number
        self.first_number = number
        """The number with which the term began: tokens from it on are this leader's."""
        self.pending_number = 0
        """The number that the leader is taking; 0 if it takes none."""
        self.runtime = context.runtime
        self.settings = context.settings
        self.policy = context.policy
        self.ledger = context.ledger
        self.cloud = context.cloud
        self.rng = context.rng
        self.limits = context.limits
        self.authority = Authority(number, context.leadership, context.ledger)
        self.machine_types = machine_types
        self.active = False
        self.is_over = False
        """Whether this controller has stopped leading the term: it never becomes active again."""
        self.pause_count = 0
        """How often the process was paused: a timeout during a pause proves nothing."""
        self.began_at = context.runtime.now()
        self.fleet = Fleet(context.runtime, context.ledger, context.settings.zones)
        self.pass_requests = PassRequests()
        self.on_higher_token: Callable[[str, int], None] = _ignore_token
        """Called with the machine and its fencing token if only a later leader can have sent it."""

    def begin_raise(self, number: int) -> None:
        """Records that the leader is taking that number; it may be stored already."""
        self.pending_number = number

    def complete_raise(self) -> None:
        """Continues the term under the number that the leader has taken."""
        self.number = self.pending_number
        self.pending_number = 0
        self.authority.change_term(self.number)

    def is_own_token(self, token: int) -> bool:
        """Whether a machine with that fencing token obeys this leader."""
        return self.first_number <= token <= max(self.number, self.pending_number)

    def is_later_token(self, token: int) -> bool:
        """Whether only a later leader can have sent that fencing token."""
        return token > max(self.number, self.pending_number)

    def end(self) -> None:
        """Ends the term: replies that arrive later are ignored."""
        self.active = False
        self.is_over = True

    def request_pass(self) -> None:
        """Asks the scheduler for a pass over the pending jobs."""
        self.pass_requests.publish()

    def get_quota(self, team: str) -> Quota:
        """Returns a team's current quota."""
        return Quota.from_settings(self.limits.find_team(team))

    def compute_team_usage(self, team: str) -> Amounts:
        """Returns the resources of a team's placements.

        A placement counts from its proposal until it is proven finished.
        """
        usage = self.ledger.state.usage_by_team.get(team)
        return Amounts(usage.cores, usage.gpus) if usage is not None else NO_RESOURCES

    @property
    def may_act(self) -> bool:
        """Whether the leader may decide to provision, terminate, move and preempt."""
        return self.active and self.authority.is_assumed


class TermActor(Actor):
    """One duty of the leader, for one term."""

    def __init__(self, term: Term) -> None:
        """Copies the term's collaborators to attributes of the duty."""
        super().__init__(term.runtime)
        self.term = term
        self.fleet = term.fleet
        self.settings = term.settings
        self.policy = term.policy
        self.ledger = term.ledger
        self.cloud = term.cloud
        self.rng = term.rng
