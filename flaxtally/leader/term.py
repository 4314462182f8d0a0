"""What the leader's duties share for as long as a term lasts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..lending.entitlement import NOTHING, Amounts, Guarantee
from ..planning.fleet import Machine
from ..runtime.actor import Actor

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..clients.cloud import Cloud
    from ..ledger.write_ahead_log import WriteAheadLog
    from ..policy import Policy
    from ..protocol import wire
    from ..runtime.loop import Runtime
    from ..settings import Settings
    from .team_limits import TeamLimits


class Fleet:
    """The machines that the leader knows in this term, and the names of those proven gone."""

    def __init__(self, runtime: Runtime, ledger: WriteAheadLog, zones: tuple[str, ...]) -> None:
        self._runtime, self._ledger = runtime, ledger
        self.machines: dict[str, Machine] = {}
        self.removed_machines: set[str] = set()
        self.changed_machines: dict[Machine, None] = {}
        """Those whose room, images or use changed since the scheduler took this up."""
        self.zones = set(zones)

    def add_machine(self, name: str, machine_type: str, zone: str, spot: bool) -> Machine:
        machine = self.machines.get(name)
        if machine is None:
            now = self._runtime.now()
            machine = self.machines[name] = Machine(
                name, machine_type, zone, spot, now, self.changed_machines
            )
            self.zones.add(zone)
            for placed in self._ledger.state.placements_by_machine.get(name, {}).values():
                machine.add_placement(placed)
        return machine


class Term:
    """One term of leading. Once over, `active` stays false, and late answers end there."""

    def __init__(
        self,
        number: int,
        runtime: Runtime,
        settings: Settings,
        policy: Policy,
        ledger: WriteAheadLog,
        cloud: Cloud,
        rng: random.Random,
        machine_types: dict[str, wire.MachineType],
        limits: TeamLimits,
    ) -> None:
        self.number, self.runtime, self.settings, self.policy = number, runtime, settings, policy
        self.ledger, self.cloud, self.rng, self.machine_types = ledger, cloud, rng, machine_types
        self.limits = limits
        self.active = False
        self.may_be_superseded = False
        """Others may well lead by now: see `LeaderElection.isolated`."""
        self.suspended = False
        """The process stood still, and leadership was not confirmed since."""
        self.pause_count = 0
        """How often the process stood still; what timed out across a pause proves nothing."""
        self.began_at = runtime.now()
        self.fleet = Fleet(runtime, ledger, settings.zones)
        self.request_pass: Callable[[], None] = lambda: None
        """Asks for a pass of the scheduler."""

    def quota(self, team: str) -> Guarantee:
        """A team's guarantee as it is now."""
        return Guarantee.of(self.limits.of(team))

    def team_usage(self, team: str) -> Amounts:
        """What a team's placements take, from their proposal until they are proven over."""
        usage = self.ledger.state.usage_by_team.get(team)
        return Amounts(usage.cores, usage.gpus) if usage is not None else NOTHING

    @property
    def may_act(self) -> bool:
        """Whether it may rent, release, order, move and preempt."""
        return self.active and not self.may_be_superseded and not self.suspended


class TermActor(Actor):
    """One duty of the leader, for one term."""

    def __init__(self, term: Term) -> None:
        super().__init__(term.runtime)
        self.term, self.fleet = term, term.fleet
        self.settings, self.policy = term.settings, term.policy
        self.ledger, self.cloud, self.rng = term.ledger, term.cloud, term.rng
