"""Entitlement and recalls by themselves: two invariants over any sequence of events."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import settings as examples
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
from flaxtally.planning.placement import Room
from flaxtally.settings import Team

from .simulated_cluster import spec

if TYPE_CHECKING:
    from flaxtally.protocol import wire

TEAMS = {
    "north": Team("north", 0.0, 0.0, 8.0, 0.0),
    "south": Team("south", 0.0, 0.0, 4.0, 0.0),
    "guests": Team("guests", 0.0, 0.0, 0.0, 0.0),
}
GUARANTEES = {name: Quota.from_settings(team) for name, team in TEAMS.items()}
MACHINES, GPUS = 3, 4.0
RECALL_S, SAVE_S, REPEAT_S, STOP_S = 12, 2, 2, 2
TIMES = ReclaimTimes(resend_after_s=REPEAT_S, stop_s=STOP_S, give_up_after_s=RECALL_S)


@dataclass(eq=False)
class Task:
    """A task of the model; `machine` is None while it waits."""

    number: int
    spec: wire.Spec
    machine: int | None = None
    saved_at: int | None = None
    """When it exits, once it was told to stop."""
    stopping: bool = False


@dataclass(eq=False)
class ModelRecall:
    task: Task
    machine: int
    borrowed: list[Task]
    deadline: int
    told_at: int | None = None
    forced: bool = False


@dataclass
class Model:
    """A leader and its machines, seconds as steps. Everything it decides comes from `lending`."""

    now: int = 0
    tasks: list[Task] = field(default_factory=list)
    recalls: list[ModelRecall] = field(default_factory=list)
    up: set[int] = field(default_factory=lambda: set(range(MACHINES)))
    lost_until: int = 0
    """Until when stops get lost."""
    entitled_since: dict[str, int] = field(default_factory=dict)

    def on(self, machine: int) -> list[Task]:
        return [task for task in self.tasks if task.machine == machine]

    def use(self, team: str, firm: bool = False) -> Amounts:
        use = NO_RESOURCES
        for task in self.tasks:
            leaves = task.stopping or any(task in recall.borrowed for recall in self.recalls)
            if task.spec.team == team and task.machine is not None and not (firm and leaves):
                use = use.plus(compute_amounts(task.spec))
        return use

    def free(self, machine: int) -> Room:
        gpus = GPUS - sum(task.spec.gpus for task in self.on(machine))
        kept = sum(r.task.spec.gpus for r in self.recalls if r.machine == machine)
        return Room(1000.0, gpus - kept, 1000.0)

    def is_entitled(self, task: Task) -> bool:
        team = task.spec.team
        promised = [r.task.spec for r in self.recalls if r.task.spec.team == team]
        use = self.use(team)
        for other in (*promised, task.spec):
            use = use.plus(compute_amounts(other))
        return GUARANTEES[team].covers(use)

    def step(self) -> None:
        self.now += 1
        for task in self.tasks:
            if task.saved_at is not None and task.saved_at <= self.now:
                task.machine, task.saved_at, task.stopping = None, None, False
        for recall in list(self.recalls):
            self.go_on(recall)
        for task in [task for task in self.tasks if task.machine is None]:
            if not any(recall.task is task for recall in self.recalls):
                self.place_or_recall(task)

    def place_or_recall(self, task: Task) -> None:
        for machine in sorted(self.up):
            if self.free(machine).holds(task.spec):
                task.machine = machine
                return
        if self.is_entitled(task):
            self.recall(ModelRecall(task, -1, [], self.now + RECALL_S))

    def recall(self, recall: ModelRecall) -> None:
        """Begins it, or goes on elsewhere, where room can be made."""
        team = recall.task.spec.team
        for machine in sorted(self.up):
            budget = ReclaimBudget(GUARANTEES.__getitem__, lambda name: self.use(name, firm=True))
            leaving = [t for t in self.on(machine) if t.stopping]
            others = [t for t in self.on(machine) if not t.stopping and t.spec.team != team]
            found, chosen = select_victims(
                recall.task.spec,
                self.free(machine),
                [*leaving, *others],
                lambda t: t.spec,
                lambda t, budget=budget: (  # type: ignore[misc]
                    t.stopping or budget.try_take(t.spec.team, compute_amounts(t.spec))
                ),
            )
            if found.holds(recall.task.spec):
                recall.machine, recall.borrowed, recall.told_at = machine, chosen, None
                if recall not in self.recalls:
                    self.recalls.append(recall)
                return

    def go_on(self, recall: ModelRecall) -> None:
        left = [task for task in recall.borrowed if task.machine == recall.machine]
        step = choose_next_step(
            ReclaimSituation(
                is_wanted=recall.task in self.tasks and recall.task.machine is None,
                can_machine_serve=recall.machine in self.up,
                remaining_victim_count=len(left),
                since_stop_s=None if recall.told_at is None else self.now - recall.told_at,
                is_forced=recall.forced,
                until_deadline_s=recall.deadline - self.now,
                longest_save_s=SAVE_S,
            ),
            TIMES,
        )
        if step in (Step.STOP, Step.FORCE):
            recall.told_at, recall.forced = self.now, step is Step.FORCE
            for task in left:
                self.stop(task, recall, 0 if recall.forced else SAVE_S)
        elif step is Step.MOVE:
            self.recalls.remove(recall)
            self.recall(recall)
        elif step in (Step.WITHDRAW, Step.GIVE_UP):
            self.recalls.remove(recall)
        elif not left and recall.machine in self.up:
            self.recalls.remove(recall)
            if self.free(recall.machine).holds(recall.task.spec):
                recall.task.machine = recall.machine

    def stop(self, task: Task, recall: ModelRecall, grace: int) -> None:
        if not task.stopping:
            team = task.spec.team
            left = self.use(team, firm=True)
            assert team != recall.task.spec.team
            assert GUARANTEES[team].is_preserved(left, compute_amounts(task.spec)), (
                f"{team} is taken below its guarantee"
            )
        task.stopping = True
        if self.now >= self.lost_until:
            task.saved_at = min(task.saved_at or self.now + grace, self.now + grace)


class LendingStateMachine(RuleBasedStateMachine):
    """Arrivals, ends, machine losses and lost answers, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.model = Model()
        self.numbers = itertools.count()
        self.lacks: dict[str, int] = {}

    @rule(
        team=st.sampled_from(sorted(TEAMS)), gpus=st.sampled_from([1.0, 2.0]), n=st.integers(1, 8)
    )
    def arrive(self, team: str, gpus: float, n: int) -> None:
        for _ in range(n):
            number = next(self.numbers)
            job = spec(f"j-{number:06d}", team=team, gpus=gpus, cores=1.0)
            self.model.tasks.append(Task(number, job))

    @precondition(lambda self: self.model.tasks)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        self.model.tasks.remove(data.draw(st.sampled_from(self.model.tasks)))

    @rule(machine=st.integers(0, MACHINES - 1))
    def lose(self, machine: int) -> None:
        # Room that was almost there may be lost with it: the others have the time once more.
        self.lacks = {}
        self.model.up.discard(machine)
        for task in self.model.on(machine):
            task.machine, task.saved_at, task.stopping = None, None, False

    @rule(machine=st.integers(0, MACHINES - 1))
    def rent(self, machine: int) -> None:
        self.model.up.add(machine)

    @rule()
    def lose_answers(self) -> None:
        self.model.lost_until = self.model.now + 2

    @rule(seconds=st.integers(1, 20))
    def wait(self, seconds: int) -> None:
        for _ in range(seconds):
            self.model.step()
            self.look()

    def look(self) -> None:
        """Who lacks room that others borrow, and for how long already."""
        lacking = {team for team in TEAMS if self.is_lacking(team)}
        self.lacks = {team: self.lacks.get(team, 0) + 1 for team in lacking}
        assert all(since <= RECALL_S for since in self.lacks.values()), self.lacks

    def is_lacking(self, team: str) -> bool:
        model = self.model
        waiting = [t for t in model.tasks if t.spec.team == team and t.machine is None]
        for task in waiting:
            if not GUARANTEES[team].covers(model.use(team).plus(compute_amounts(task.spec))):
                continue
            for machine in model.up:
                budget = ReclaimBudget(GUARANTEES.__getitem__, model.use)
                room, _ = select_victims(
                    task.spec,
                    Room(1000.0, GPUS - sum(t.spec.gpus for t in model.on(machine)), 1000.0),
                    [t for t in model.on(machine) if t.spec.team != team],
                    lambda t: t.spec,
                    lambda t, budget=budget: budget.try_take(t.spec.team, compute_amounts(t.spec)),  # type: ignore[misc]
                )
                if room.holds(task.spec):
                    return True
        return False

    @invariant()
    def recalls_are_bounded_by_waiting_tasks(self) -> None:
        assert len(self.model.recalls) <= len(self.model.tasks)


TestLending = LendingStateMachine.TestCase
TestLending.settings = examples(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)


# The next step of a recall

WANTED = ReclaimSituation(True, True, 2, None, False, 10.0, 1.0)


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
def test_the_next_step_of_a_recall(changes: dict[str, float], step: Step) -> None:
    assert choose_next_step(replace(WANTED, **changes), TIMES) is step  # type: ignore[arg-type]


# Guarantees


@pytest.mark.parametrize(
    ("team", "use", "taken", "is_kept"),
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
def test_whether_a_team_keeps_its_guarantee(
    team: Team | None, use: tuple[float, float], taken: tuple[float, float], is_kept: bool
) -> None:
    """`use`: what is left when that much was taken."""
    assert Quota.from_settings(team).is_preserved(Amounts(*use), Amounts(*taken)) is is_kept


def test_one_decision_takes_no_more_than_is_borrowed() -> None:
    budget = ReclaimBudget(GUARANTEES.__getitem__, lambda _: Amounts(0.0, 10.0))
    taken = [budget.try_take("north", Amounts(0.0, 1.0)) for _ in range(4)]
    assert taken == [True, True, False, False]
    assert not budget.can_take("north", Amounts(0.0, 1.0))


@pytest.mark.real_processes
@given(st.dictionaries(st.sampled_from(sorted(TEAMS)), st.floats(0.0, 50.0), min_size=1))
def test_what_is_lent_is_what_is_borrowed_as_far_as_guarantees_are_unused(
    gpus: dict[str, float],
) -> None:
    uses = [
        TeamUsage(name, GUARANTEES[name], Amounts(0.0, n), NO_RESOURCES) for name, n in gpus.items()
    ]
    accounts = compute_team_accounts(uses)
    lent = sum(account.lends.gpus for account in accounts.values())
    borrowed = sum(account.borrows.gpus for account in accounts.values())
    unused = sum(max(0.0, TEAMS[name].gpus - n) for name, n in gpus.items())
    assert lent == pytest.approx(min(borrowed, unused))
    owed = compute_loans(accounts)
    assert sum(each.gpus for each in owed.values()) == pytest.approx(lent)
    assert all(pair.lender != pair.borrower for pair in owed)
