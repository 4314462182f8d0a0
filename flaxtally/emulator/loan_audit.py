"""Whether guarantees were kept, seen from outside: an audit of loans.

Reads what `rules` reads (submissions, the workers' starts and ends, machines and settings), and
nothing of the controllers' accounts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..protocol import wire
from .rules import Rules, allowed

if TYPE_CHECKING:
    from collections.abc import Collection

    from ..settings import Team

SLACK = 1e-6
CHOSEN_S = 2.0
"""From the choice of a task until it is told and, if it saves, begins to."""


@dataclass(frozen=True)
class _Owed:
    """Room on a machine that a task left although its team was within its guarantee."""

    task: str
    team: str
    gpus: float
    cores: float


@dataclass
class _Lent:
    """Room on a machine that a team borrows."""

    machine: wire.Listed
    team: str
    cores: float = 0.0
    gpus: float = 0.0
    rank: int = len(wire.RANKS)
    """The highest rank of a replica there."""


class LoanAudit:
    """Owns what was seen of guarantees. Breaches are kept in `breaches`."""

    def __init__(self, rules: Rules, teams: dict[str, Team], most_s: float) -> None:
        """`most_s`: how long a team may lack what it is entitled to while others borrow it."""
        self._rules, self._teams, self.most_s = rules, teams, most_s
        self.breaches: list[str] = []
        self.longest_shortfall_s: dict[str, float] = {}
        """The longest that a team lacked it, in seconds."""
        self._lacks_since: dict[str, float] = {}
        self._above_at: dict[str, float] = {}
        """When a team last used more than its guarantee: who gave way was chosen a while ago."""
        self._owed: dict[str, list[_Owed]] = {}

    # Within a guarantee

    def _within(self, team: str, cores: float, gpus: float) -> bool:
        """Whether that much use is within the team's guarantee."""
        found = self._teams[team]
        return bool(found.cores or found.gpus) and all(
            not guaranteed or used <= guaranteed + SLACK
            for guaranteed, used in ((found.cores, cores), (found.gpus, gpus))
        )

    def _is_entitled(self, spec: wire.Spec) -> bool:
        """Whether one more task, or the gang, is within the guarantee beside what runs."""
        cores, gpus = self._rules.used.get(spec.team, [0.0, 0.0])
        count = spec.tasks if spec.job_kind == wire.GANG else 1
        return self._within(spec.team, cores + spec.cores * count, gpus + spec.gpus * count)

    def _is_borrowed(self, spec: wire.Spec) -> bool:
        """Whether the task's team is at or above its guarantee without it, in what it takes."""
        team, used = self._teams[spec.team], self._rules.used.get(spec.team, [0.0, 0.0])
        without = used[0] - spec.cores, used[1] - spec.gpus
        has_none = not (team.cores or team.gpus)
        return any(
            takes > 0 and (has_none or (guaranteed and left >= guaranteed - SLACK))
            for takes, left, guaranteed in zip(
                (spec.cores, spec.gpus), without, (team.cores, team.gpus), strict=True
            )
        )

    def borrowed(self) -> dict[str, tuple[float, float]]:
        """What each team uses beyond its guarantee, in cores and GPUs; who does not is left out."""
        found = {}
        for name, team in self._teams.items():
            used = self._rules.used.get(name, [0.0, 0.0])
            if not self._within(name, *used):
                has_none = not (team.cores or team.gpus)
                found[name] = (
                    max(0.0, used[0] - team.cores) if team.cores or has_none else 0.0,
                    max(0.0, used[1] - team.gpus) if team.gpus or has_none else 0.0,
                )
        return {name: amounts for name, amounts in found.items() if any(amounts)}

    # What is seen

    def record_start(self, task: str, machine: str, now: float) -> None:
        """A task was seen to start, after the rules saw it."""
        spec = self._spec(task)
        for owed in self._owed.get(machine, []):
            took = spec.team != owed.team and (
                (spec.gpus > 0 and owed.gpus > 0) or (not spec.gpus and not owed.gpus)
            )
            if took and task != owed.task and self._still_waits(owed):
                self.breaches.append(
                    f"{now:.2f} reclaimed below the guarantee of {owed.team}: {owed.task} gave way "
                    f"to {task} on {machine}"
                )
        self._owed.pop(machine, None)
        self._note_use(spec.team, now)

    def record_upcoming_end(self, task: str, now: float) -> None:
        """A task is about to end, for whatever reason: the rules did not see it yet."""
        self._note_use(self._spec(task).team, now)

    def _note_use(self, team: str, now: float) -> None:
        if not self._within(team, *self._rules.used.get(team, [0.0, 0.0])):
            self._above_at[team] = now

    def record_stop(self, task: str, machine: str, now: float) -> None:
        """A task ended because it was told to, and may start again."""
        spec = self._spec(task)
        if now - self._above_at.get(spec.team, float("-inf")) <= CHOSEN_S + spec.checkpoint_save_s:
            return
        if not self._rules.job(task.partition("/")[0]).asked_to_cancel and self._is_entitled(spec):
            owed = _Owed(task, spec.team, spec.gpus, spec.cores)
            self._owed.setdefault(machine, []).append(owed)

    def _still_waits(self, owed: _Owed) -> bool:
        ref = owed.task.partition("/")[0]
        job = self._rules.job(ref)
        return owed.task not in self._rules.placements and not job.asked_to_cancel

    def check_deadlines(self, now: float, machines: Collection[wire.Listed]) -> None:
        """At any moment: who lacks room that others borrow. `machines`: those that are up."""
        lacking = {spec.team for spec in self._lacking(machines)}
        for team in list(self._lacks_since):
            if team not in lacking:
                del self._lacks_since[team]
        for team in lacking:
            lacks = now - self._lacks_since.setdefault(team, now)
            before = self.longest_shortfall_s.get(team, 0.0)
            self.longest_shortfall_s[team] = max(before, lacks)
            if before <= self.most_s < lacks:
                self.breaches.append(f"{now:.2f} {team} is below its guarantee for {lacks:.1f} s")

    def _lacking(self, machines: Collection[wire.Listed]) -> list[wire.Spec]:
        """Jobs with a waiting task that is entitled to room which others borrow."""
        lent = self._lent(machines)
        found = []
        for ref, job in self._rules.jobs.items():
            spec = job.spec
            if not job.accepted or job.asked_to_cancel or spec is None or job.told is not None:
                continue
            left = spec.tasks - len(job.done) - len(job.placements)
            if left > 0 and self._is_entitled(spec) and self._could_have(ref, spec, lent):
                found.append(spec)
        return found

    def _lent(self, machines: Collection[wire.Listed]) -> list[_Lent]:
        """Borrowed room on the machines, by machine and team."""
        by_name = {machine.machine: machine for machine in machines}
        found: dict[tuple[str, str], _Lent] = {}
        for task, (machine, _) in self._rules.placements.items():
            spec = self._spec(task)
            if machine.machine not in by_name or not self._is_borrowed(spec):
                continue
            key = machine.machine, spec.team
            lent = found.setdefault(key, _Lent(by_name[machine.machine], spec.team))
            lent.cores += spec.cores
            lent.gpus += spec.gpus
            if spec.job_kind == wire.SERVICE:
                lent.rank = min(lent.rank, wire.RANKS[spec.rank])
        for lent in found.values():
            self._cap(lent)
        return list(found.values())

    def _cap(self, lent: _Lent) -> None:
        """Each task is borrowed by itself; together they are no more than the team borrows."""
        team, used = self._teams[lent.team], self._rules.used[lent.team]
        if lent.gpus and team.gpus:
            lent.gpus = min(lent.gpus, used[1] - team.gpus)
        elif not lent.gpus and team.cores:
            lent.cores = min(lent.cores, used[0] - team.cores)

    def _could_have(self, ref: str, spec: wire.Spec, rooms: list[_Lent]) -> bool:
        zones = list(self._rules.job(ref).placements.values())
        return any(
            lent.team != spec.team
            and lent.cores >= spec.cores - SLACK
            and lent.gpus >= spec.gpus - SLACK
            and lent.rank >= wire.RANKS[spec.rank]
            and allowed(spec, lent.machine, zones)
            for lent in rooms
        )

    def _spec(self, task: str) -> wire.Spec:
        spec = self._rules.job(task.partition("/")[0]).spec
        assert spec is not None, task
        return spec
