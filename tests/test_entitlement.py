"""Entitlement and reclaims in a model of the leader, under random events.

Two invariants hold throughout: a stop leaves no team below its quota, and no team lacks capacity
that others borrow for longer than the deadline of a reclaim.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from flaxtally.lending.accounts import TeamUsage, compute_loans, compute_team_accounts
from flaxtally.lending.entitlement import (
    NO_RESOURCES,
    Amounts,
    Quota,
    ReclaimBudget,
    compute_amounts,
)
from flaxtally.lending.reclaim import ReclaimSituation, ReclaimTimes, Step, choose_next_step
from flaxtally.lending.victim_selection import select_victims
from flaxtally.planning.placement import FreeResources
from flaxtally.settings import Team

from .simulated_cluster import spec

if TYPE_CHECKING:
    from flaxtally.protocol import wire

TEAMS = {
    "north": Team("north", 0.0, 0.0, 8.0, 0.0),
    "south": Team("south", 0.0, 0.0, 4.0, 0.0),
    "guests": Team("guests", 0.0, 0.0, 0.0, 0.0),
}
QUOTAS = {name: Quota.from_settings(team) for name, team in TEAMS.items()}
MACHINES, GPUS = 3, 4.0
RECLAIM_DEADLINE_S, SAVE_S, RESEND_S, STOP_S = 12, 2, 2, 2
TIMES = ReclaimTimes(resend_after_s=RESEND_S, stop_s=STOP_S, give_up_after_s=RECLAIM_DEADLINE_S)


@dataclass(eq=False)
class Task:
    """A task of the model; `machine` is None while it is pending."""

    number: int
    spec: wire.Spec
    machine: int | None = None
    exits_at: int | None = None
    """The step at which the task exits after a stop; None: it runs on."""
    is_stopping: bool = False


@dataclass(eq=False)
class ModelReclaim:
    task: Task
    machine: int
    victims: list[Task]
    deadline: int
    stops_sent_at: int | None = None
    is_forced: bool = False


@dataclass
class Model:
    """A leader and its machines in steps of a second; `flaxtally.lending` makes its decisions."""

    now: int = 0
    tasks: list[Task] = field(default_factory=list)
    reclaims: list[ModelReclaim] = field(default_factory=list)
    running_machines: set[int] = field(default_factory=lambda: set(range(MACHINES)))
    stops_lost_until: int = 0
    """The step until which stops are lost."""
    entitled_since: dict[str, int] = field(default_factory=dict)

    def tasks_on(self, machine: int) -> list[Task]:
        return [task for task in self.tasks if task.machine == machine]

    def usage(self, team: str, without_leaving: bool = False) -> Amounts:
        """Returns what the team's placed tasks use.

        `without_leaving` omits tasks that stop or are victims of a reclaim.
        """
        usage = NO_RESOURCES
        for task in self.tasks:
            is_leaving = task.is_stopping or any(
                task in reclaim.victims for reclaim in self.reclaims
            )
            if (
                task.spec.team == team
                and task.machine is not None
                and not (without_leaving and is_leaving)
            ):
                usage = usage.plus(compute_amounts(task.spec))
        return usage

    def free_on(self, machine: int) -> FreeResources:
        gpus = GPUS - sum(task.spec.gpus for task in self.tasks_on(machine))
        reserved_gpus = sum(r.task.spec.gpus for r in self.reclaims if r.machine == machine)
        return FreeResources(1000.0, gpus - reserved_gpus, 1000.0)

    def is_entitled(self, task: Task) -> bool:
        team = task.spec.team
        reclaimed_specs = [r.task.spec for r in self.reclaims if r.task.spec.team == team]
        usage = self.usage(team)
        for other in (*reclaimed_specs, task.spec):
            usage = usage.plus(compute_amounts(other))
        return QUOTAS[team].covers(usage)

    def step(self) -> None:
        self.now += 1
        for task in self.tasks:
            if task.exits_at is not None and task.exits_at <= self.now:
                task.machine, task.exits_at, task.is_stopping = None, None, False
        for reclaim in list(self.reclaims):
            self.advance_reclaim(reclaim)
        for task in [task for task in self.tasks if task.machine is None]:
            if not any(reclaim.task is task for reclaim in self.reclaims):
                self.place_or_reclaim(task)

    def place_or_reclaim(self, task: Task) -> None:
        for machine in sorted(self.running_machines):
            if self.free_on(machine).holds(task.spec):
                task.machine = machine
                return
        if self.is_entitled(task):
            self.reclaim(ModelReclaim(task, -1, [], self.now + RECLAIM_DEADLINE_S))

    def reclaim(self, reclaim: ModelReclaim) -> None:
        """Starts the reclaim, or moves it, on a machine where capacity can be freed."""
        team = reclaim.task.spec.team
        for machine in sorted(self.running_machines):
            budget = ReclaimBudget(
                QUOTAS.__getitem__, lambda name: self.usage(name, without_leaving=True)
            )
            leaving = [t for t in self.tasks_on(machine) if t.is_stopping]
            others = [
                t for t in self.tasks_on(machine) if not t.is_stopping and t.spec.team != team
            ]
            free_after_stops, victims = select_victims(
                reclaim.task.spec,
                self.free_on(machine),
                [*leaving, *others],
                lambda t: t.spec,
                lambda t, budget=budget: (  # type: ignore[misc]
                    t.is_stopping or budget.try_take(t.spec.team, compute_amounts(t.spec))
                ),
            )
            if free_after_stops.holds(reclaim.task.spec):
                reclaim.machine, reclaim.victims, reclaim.stops_sent_at = machine, victims, None
                if reclaim not in self.reclaims:
                    self.reclaims.append(reclaim)
                return

    def advance_reclaim(self, reclaim: ModelReclaim) -> None:
        remaining = [task for task in reclaim.victims if task.machine == reclaim.machine]
        step = choose_next_step(
            ReclaimSituation(
                is_wanted=reclaim.task in self.tasks and reclaim.task.machine is None,
                can_machine_serve=reclaim.machine in self.running_machines,
                remaining_victim_count=len(remaining),
                since_stop_s=None
                if reclaim.stops_sent_at is None
                else self.now - reclaim.stops_sent_at,
                is_forced=reclaim.is_forced,
                until_deadline_s=reclaim.deadline - self.now,
                longest_save_s=SAVE_S,
            ),
            TIMES,
        )
        if step in (Step.STOP, Step.FORCE):
            reclaim.stops_sent_at, reclaim.is_forced = self.now, step is Step.FORCE
            for task in remaining:
                self.stop(task, reclaim, 0 if reclaim.is_forced else SAVE_S)
        elif step is Step.MOVE:
            self.reclaims.remove(reclaim)
            self.reclaim(reclaim)
        elif step in (Step.WITHDRAW, Step.GIVE_UP):
            self.reclaims.remove(reclaim)
        elif not remaining and reclaim.machine in self.running_machines:
            self.reclaims.remove(reclaim)
            if self.free_on(reclaim.machine).holds(reclaim.task.spec):
                reclaim.task.machine = reclaim.machine

    def stop(self, task: Task, reclaim: ModelReclaim, grace: int) -> None:
        if not task.is_stopping:
            team = task.spec.team
            remaining = self.usage(team, without_leaving=True)
            assert team != reclaim.task.spec.team
            assert QUOTAS[team].is_preserved(remaining, compute_amounts(task.spec)), (
                f"{team} falls below its quota"
            )
        task.is_stopping = True
        if self.now >= self.stops_lost_until:
            task.exits_at = min(task.exits_at or self.now + grace, self.now + grace)


class LendingStateMachine(RuleBasedStateMachine):
    """Task arrivals and ends, machine losses and provisioning, and lost stops, in any order.

    `Model.stop` checks that the team keeps its quota, `check_shortfalls` that reclaims are in time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.model = Model()
        self.numbers = itertools.count()
        self.shortfall_s: dict[str, int] = {}

    @rule(
        team=st.sampled_from(sorted(TEAMS)),
        gpus=st.sampled_from([1.0, 2.0]),
        count=st.integers(1, 8),
    )
    def arrive(self, team: str, gpus: float, count: int) -> None:
        for _ in range(count):
            number = next(self.numbers)
            job = spec(f"j-{number:06d}", team=team, gpus=gpus, cores=1.0)
            self.model.tasks.append(Task(number, job))

    @precondition(lambda self: self.model.tasks)
    @rule(data=st.data())
    def finish_task(self, data: st.DataObject) -> None:
        self.model.tasks.remove(data.draw(st.sampled_from(self.model.tasks)))

    @rule(machine=st.integers(0, MACHINES - 1))
    def lose_machine(self, machine: int) -> None:
        # Capacity that was almost free may be lost with the machine: from now on each team may wait
        # for the full time again.
        self.shortfall_s = {}
        self.model.running_machines.discard(machine)
        for task in self.model.tasks_on(machine):
            task.machine, task.exits_at, task.is_stopping = None, None, False

    @rule(machine=st.integers(0, MACHINES - 1))
    def provision_machine(self, machine: int) -> None:
        self.model.running_machines.add(machine)

    @rule()
    def lose_stops(self) -> None:
        self.model.stops_lost_until = self.model.now + 2

    @rule(seconds=st.integers(1, 20))
    def wait(self, seconds: int) -> None:
        for _ in range(seconds):
            self.model.step()
            self.check_shortfalls()

    def check_shortfalls(self) -> None:
        """Checks that no team lacks capacity that others borrow for longer than the deadline."""
        teams_with_shortfall = {team for team in TEAMS if self.has_shortfall(team)}
        self.shortfall_s = {
            team: self.shortfall_s.get(team, 0) + 1 for team in teams_with_shortfall
        }
        assert all(since <= RECLAIM_DEADLINE_S for since in self.shortfall_s.values()), (
            self.shortfall_s
        )

    def has_shortfall(self, team: str) -> bool:
        model = self.model
        waiting = [t for t in model.tasks if t.spec.team == team and t.machine is None]
        for task in waiting:
            if not QUOTAS[team].covers(model.usage(team).plus(compute_amounts(task.spec))):
                continue
            for machine in model.running_machines:
                budget = ReclaimBudget(QUOTAS.__getitem__, model.usage)
                free_after_stops, _ = select_victims(
                    task.spec,
                    FreeResources(
                        1000.0, GPUS - sum(t.spec.gpus for t in model.tasks_on(machine)), 1000.0
                    ),
                    [t for t in model.tasks_on(machine) if t.spec.team != team],
                    lambda t: t.spec,
                    lambda t, budget=budget: budget.try_take(t.spec.team, compute_amounts(t.spec)),  # type: ignore[misc]
                )
                if free_after_stops.holds(task.spec):
                    return True
        return False

    @invariant()
    def reclaims_are_bounded_by_tasks(self) -> None:
        assert len(self.model.reclaims) <= len(self.model.tasks)


TestLending = LendingStateMachine.TestCase
TestLending.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)


# The next step of a reclaim

SITUATION = ReclaimSituation(True, True, 2, None, False, 10.0, 1.0)


@pytest.mark.parametrize(
    ("changes", "step"),
    [
        ({}, Step.STOP),
        ({"is_wanted": False}, Step.WITHDRAW),
        ({"can_machine_serve": False}, Step.MOVE),
        ({"until_deadline_s": 2.5}, Step.FORCE),
        ({"until_deadline_s": -13.0}, Step.GIVE_UP),
        ({"remaining_victim_count": 0}, Step.WAIT),
        ({"since_stop_s": 1.0}, Step.WAIT),
        ({"since_stop_s": 3.5}, Step.STOP),
        ({"since_stop_s": 1.0, "until_deadline_s": 1.0}, Step.FORCE),
        ({"since_stop_s": 1.0, "until_deadline_s": 1.0, "is_forced": True}, Step.WAIT),
        ({"since_stop_s": 2.0, "until_deadline_s": -1.0, "is_forced": True}, Step.FORCE),
    ],
)
def test_the_next_step_of_a_reclaim_in_each_situation(
    changes: dict[str, float], step: Step
) -> None:
    # A wrong step would stop tasks whose capacity is no longer needed, or miss the deadline. Each
    # case changes some observations of a committed reclaim whose victims still run.
    assert choose_next_step(replace(SITUATION, **changes), TIMES) is step  # type: ignore[arg-type]


# Quotas


@pytest.mark.parametrize(
    ("team", "usage", "taken", "is_preserved"),
    [
        (TEAMS["north"], (0.0, 9.0), (1.0, 1.0), True),
        (TEAMS["north"], (0.0, 7.0), (1.0, 1.0), False),
        (TEAMS["guests"], (0.0, 0.0), (1.0, 1.0), True),
        (Team("both", 10.0, 0.0, 4.0, 0.0), (12.0, 2.0), (1.0, 1.0), True),
        (Team("both", 10.0, 0.0, 4.0, 0.0), (9.0, 2.0), (1.0, 1.0), False),
        (Team("cores", 10.0, 0.0, 0.0, 0.0), (4.0, 50.0), (0.0, 1.0), False),
        (None, (0.0, 0.0), (1.0, 0.0), True),
    ],
)
def test_a_quota_is_preserved_at_or_above_it_in_a_resource_taken(
    team: Team | None, usage: tuple[float, float], taken: tuple[float, float], is_preserved: bool
) -> None:
    """A wrong answer would let a reclaim stop tasks that the team's quota covers.

    `usage`: what the team still uses after its tasks were stopped.
    """
    assert Quota.from_settings(team).is_preserved(Amounts(*usage), Amounts(*taken)) is is_preserved


def test_one_decision_takes_no_more_than_is_borrowed() -> None:
    # Guards against stops in one decision that each leave the team its quota, but not together.
    budget = ReclaimBudget(QUOTAS.__getitem__, lambda _: Amounts(0.0, 10.0))
    taken = [budget.try_take("north", Amounts(0.0, 1.0)) for _ in range(4)]
    assert taken == [True, True, False, False]
    assert not budget.can_take("north", Amounts(0.0, 1.0))


@pytest.mark.real_processes
@given(st.dictionaries(st.sampled_from(sorted(TEAMS)), st.floats(0.0, 50.0), min_size=1))
def test_lent_amounts_equal_borrowed_amounts_up_to_the_unused_quotas(
    gpus: dict[str, float],
) -> None:
    # What is lent must be owed by someone: no amount may appear or vanish between the accounts and
    # the loans, and no team may owe itself.
    usages = [
        TeamUsage(name, QUOTAS[name], Amounts(0.0, amount), NO_RESOURCES)
        for name, amount in gpus.items()
    ]
    accounts = compute_team_accounts(usages)
    lent = sum(account.lends.gpus for account in accounts.values())
    borrowed = sum(account.borrows.gpus for account in accounts.values())
    unused = sum(max(0.0, TEAMS[name].gpus - amount) for name, amount in gpus.items())
    assert lent == pytest.approx(min(borrowed, unused))
    owed = compute_loans(accounts)
    assert sum(each.gpus for each in owed.values()) == pytest.approx(lent)
    assert all(pair.lender != pair.borrower for pair in owed)
