"""An audit of loans: checks from outside the controllers that teams got what they are guaranteed.

It reads what `rules` reads (submissions, the workers' starts and ends of tasks, machines and
settings), and none of the controllers' own records.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..protocol import wire
from .rules import Rules, may_run_on

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..settings import Team

RESOURCE_TOLERANCE = 1e-6
"""Absolute tolerance for sums of cores and GPUs."""
VICTIM_STOP_DELAY_S = 2.0
"""Seconds from the choice of a task to preempt until it receives the stop command and, if it saves
its state, begins to do so.
"""


@dataclass(frozen=True)
class _OwedCapacity:
    """Capacity that a task had on a machine until it was stopped within its team's guarantee."""

    task: str
    team: str
    gpus: float
    cores: float


@dataclass
class _BorrowedCapacity:
    """Capacity that a team borrows on a machine."""

    machine: wire.ListedMachine
    team: str
    cores: float = 0.0
    gpus: float = 0.0
    rank: int = len(wire.RANKS)
    """The highest rank (lowest value of `wire.RANKS`) of a service replica that uses it."""


class LoanAudit:
    """Owns the observations on guarantees and collects the breaches of them in `breaches`."""

    def __init__(self, rules: Rules, teams: dict[str, Team], max_shortfall_s: float) -> None:
        """Creates an audit without observations.

        `max_shortfall_s`: how long a team may wait for capacity within its guarantee while other
        teams borrow that capacity.
        """
        self._rules, self._teams, self.max_shortfall_s = rules, teams, max_shortfall_s
        self.breaches: list[str] = []
        self.longest_shortfall_s: dict[str, float] = {}
        """The longest time that each team waited for such capacity, in seconds."""
        self._shortfall_since: dict[str, float] = {}
        self._last_above_guarantee_at: dict[str, float] = {}
        """When each team last used more than its guarantee. A preempted task is chosen some time
        before it stops, and its team may have been above the guarantee at the choice only.
        """
        self._owed_by_machine: dict[str, list[_OwedCapacity]] = {}

    # Within a guarantee

    def _is_within_guarantee(self, team: str, cores: float, gpus: float) -> bool:
        """Returns whether that usage is within the team's guarantee."""
        quota = self._teams[team]
        return bool(quota.cores or quota.gpus) and all(
            not guaranteed or used <= guaranteed + RESOURCE_TOLERANCE
            for guaranteed, used in ((quota.cores, cores), (quota.gpus, gpus))
        )

    def _is_entitled(self, spec: wire.Spec) -> bool:
        """Returns whether one more task, or the whole gang, would still be within the guarantee."""
        cores, gpus = self._rules.usage_by_team.get(spec.team, [0.0, 0.0])
        count = spec.tasks if spec.job_kind == wire.GANG else 1
        return self._is_within_guarantee(
            spec.team, cores + spec.cores * count, gpus + spec.gpus * count
        )

    def _is_borrowed(self, spec: wire.Spec) -> bool:
        """Returns whether the task runs on borrowed capacity.

        It does if its team reaches the guarantee without it, in a resource that the task uses.
        """
        team, used = self._teams[spec.team], self._rules.usage_by_team.get(spec.team, [0.0, 0.0])
        usage_without_task = used[0] - spec.cores, used[1] - spec.gpus
        has_no_guarantee = not (team.cores or team.gpus)
        return any(
            needed > 0
            and (has_no_guarantee or (guaranteed and left >= guaranteed - RESOURCE_TOLERANCE))
            for needed, left, guaranteed in zip(
                (spec.cores, spec.gpus), usage_without_task, (team.cores, team.gpus), strict=True
            )
        )

    def compute_borrowed(self) -> dict[str, tuple[float, float]]:
        """Returns the cores and GPUs that each borrowing team uses beyond its guarantee."""
        borrowed = {}
        for name, team in self._teams.items():
            used = self._rules.usage_by_team.get(name, [0.0, 0.0])
            if not self._is_within_guarantee(name, *used):
                has_no_guarantee = not (team.cores or team.gpus)
                borrowed[name] = (
                    max(0.0, used[0] - team.cores) if team.cores or has_no_guarantee else 0.0,
                    max(0.0, used[1] - team.gpus) if team.gpus or has_no_guarantee else 0.0,
                )
        return {name: amounts for name, amounts in borrowed.items() if any(amounts)}

    # Observations

    def record_start(self, task: str, machine: str, now: float) -> None:
        """Records a task's start; call it after the rules have recorded it."""
        spec = self._get_spec(task)
        for owed in self._owed_by_machine.get(machine, []):
            takes_owed_resource = spec.team != owed.team and (
                (spec.gpus > 0 and owed.gpus > 0) or (not spec.gpus and not owed.gpus)
            )
            if takes_owed_resource and task != owed.task and self._is_still_waiting(owed):
                self.breaches.append(
                    f"{now:.2f} reclaimed below the guarantee of {owed.team}: {owed.task} gave way "
                    f"to {task} on {machine}"
                )
        self._owed_by_machine.pop(machine, None)
        self._record_usage(spec.team, now)

    def record_upcoming_end(self, task: str, now: float) -> None:
        """Records that a task ends, for any reason; call it before the rules have recorded it."""
        self._record_usage(self._get_spec(task).team, now)

    def _record_usage(self, team: str, now: float) -> None:
        if not self._is_within_guarantee(team, *self._rules.usage_by_team.get(team, [0.0, 0.0])):
            self._last_above_guarantee_at[team] = now

    def record_stop(self, task: str, machine: str, now: float) -> None:
        """Records that a task ended on a controller's command and may start again."""
        spec = self._get_spec(task)
        if (
            now - self._last_above_guarantee_at.get(spec.team, float("-inf"))
            <= VICTIM_STOP_DELAY_S + spec.checkpoint_save_s
        ):
            return
        if not self._rules.job(task.partition("/")[0]).is_cancel_requested and self._is_entitled(
            spec
        ):
            owed = _OwedCapacity(task, spec.team, spec.gpus, spec.cores)
            self._owed_by_machine.setdefault(machine, []).append(owed)

    def _is_still_waiting(self, owed: _OwedCapacity) -> bool:
        ref = owed.task.partition("/")[0]
        job = self._rules.job(ref)
        return owed.task not in self._rules.placements and not job.is_cancel_requested

    def check_deadlines(self, now: float, machines: Collection[wire.ListedMachine]) -> None:
        """Checks for teams that wait too long for capacity which others borrow.

        `machines`: the machines that are up.
        """
        teams_with_shortfall = {spec.team for spec in self._find_jobs_with_shortfall(machines)}
        for team in list(self._shortfall_since):
            if team not in teams_with_shortfall:
                del self._shortfall_since[team]
        for team in teams_with_shortfall:
            shortfall_s = now - self._shortfall_since.setdefault(team, now)
            longest_before_s = self.longest_shortfall_s.get(team, 0.0)
            self.longest_shortfall_s[team] = max(longest_before_s, shortfall_s)
            if longest_before_s <= self.max_shortfall_s < shortfall_s:
                self.breaches.append(
                    f"{now:.2f} {team} is below its guarantee for {shortfall_s:.1f} s"
                )

    def _find_jobs_with_shortfall(
        self, machines: Collection[wire.ListedMachine]
    ) -> list[wire.Spec]:
        """Returns the jobs with a waiting task that is entitled to capacity which others borrow."""
        loans = self._find_borrowed_capacity(machines)
        found = []
        for ref, job in self._rules.jobs.items():
            spec = job.spec
            if (
                not job.accepted
                or job.is_cancel_requested
                or spec is None
                or job.final_stage is not None
            ):
                continue
            waiting_count = spec.tasks - len(job.done) - len(job.task_zones)
            if (
                waiting_count > 0
                and self._is_entitled(spec)
                and self._could_use_a_loan(ref, spec, loans)
            ):
                found.append(spec)
        return found

    def _find_borrowed_capacity(
        self, machines: Collection[wire.ListedMachine]
    ) -> list[_BorrowedCapacity]:
        """Returns the borrowed capacity of each machine, by team."""
        by_name = {machine.machine: machine for machine in machines}
        loans: dict[tuple[str, str], _BorrowedCapacity] = {}
        for task, (machine, _) in self._rules.placements.items():
            spec = self._get_spec(task)
            if machine.machine not in by_name or not self._is_borrowed(spec):
                continue
            key = machine.machine, spec.team
            loan = loans.setdefault(key, _BorrowedCapacity(by_name[machine.machine], spec.team))
            loan.cores += spec.cores
            loan.gpus += spec.gpus
            if spec.job_kind == wire.SERVICE:
                loan.rank = min(loan.rank, wire.RANKS[spec.rank])
        for loan in loans.values():
            self._cap_at_team_loan(loan)
        return list(loans.values())

    def _cap_at_team_loan(self, loan: _BorrowedCapacity) -> None:
        """Limits the loan, which counts each of its tasks in full, to what the team borrows."""
        team, used = self._teams[loan.team], self._rules.usage_by_team[loan.team]
        if loan.gpus and team.gpus:
            loan.gpus = min(loan.gpus, used[1] - team.gpus)
        elif not loan.gpus and team.cores:
            loan.cores = min(loan.cores, used[0] - team.cores)

    def _could_use_a_loan(self, ref: str, spec: wire.Spec, loans: list[_BorrowedCapacity]) -> bool:
        zones = list(self._rules.job(ref).task_zones.values())
        return any(
            loan.team != spec.team
            and loan.cores >= spec.cores - RESOURCE_TOLERANCE
            and loan.gpus >= spec.gpus - RESOURCE_TOLERANCE
            and loan.rank >= wire.RANKS[spec.rank]
            and may_run_on(spec, loan.machine, zones)
            for loan in loans
        )

    def _get_spec(self, task: str) -> wire.Spec:
        spec = self._rules.job(task.partition("/")[0]).spec
        assert spec is not None, task
        return spec
