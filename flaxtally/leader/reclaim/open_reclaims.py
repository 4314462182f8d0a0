"""The recalls that are not over: by job and machine, what they promise, and whom they chose."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...ledger.reclaims import Borrowed, Reclaim
from ...lending.entitlement import NOTHING, Amounts, amounts_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...ledger.write_ahead_log import WriteAheadLog
    from ...protocol import wire


class OpenReclaim:
    """A recall that is not over, and what this leader did about it."""

    __slots__ = ("is_committed", "is_forced", "is_late", "promised", "recall", "told_at")

    def __init__(self, recall: Reclaim, is_committed: bool) -> None:
        self.recall, self.is_committed = recall, is_committed
        self.promised = NOTHING
        """What it will give its lender."""
        self.told_at: float | None = None
        """When the borrowed tasks were last told to stop in this term."""
        self.is_forced = self.is_late = False


class OpenReclaims:
    """Owns the open recalls. What they have chosen counts as leaving before it is told."""

    def __init__(self, ledger: WriteAheadLog) -> None:
        self._ledger = ledger
        self._all: dict[int, OpenReclaim] = {}
        self._of_job: dict[int, list[OpenReclaim]] = {}
        self._on_machine: dict[str, list[OpenReclaim]] = {}
        self._promised: dict[str, Amounts] = {}
        self._untold: dict[int, OpenReclaim] = {}
        """Recalls whose borrowed tasks were not told yet."""
        self._chosen: set[Borrowed] = set()
        self._chosen_use: dict[str, Amounts] = {}
        """What the chosen tasks take, by team."""

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[OpenReclaim]:
        return iter(list(self._all.values()))

    def has(self, each: OpenReclaim) -> bool:
        """Whether the recall is still open."""
        return self._all.get(each.recall.number) is each

    # Changes

    def add(self, each: OpenReclaim) -> None:
        """The recall begins, or goes on on another machine."""
        recall = each.recall
        job = self._ledger.state.jobs.get(recall.job)
        each.promised = amounts_of(job.spec, recall.tasks) if job is not None else NOTHING
        self._promised[recall.lender] = self.promised(recall.lender).plus(each.promised)
        self._all[recall.number] = each
        self._of_job.setdefault(recall.job, []).append(each)
        self._on_machine.setdefault(recall.machine, []).append(each)
        self._untold[recall.number] = each
        self._note_chosen()

    def remove(self, each: OpenReclaim) -> None:
        """The recall is over, or leaves its machine."""
        recall = each.recall
        del self._all[recall.number]
        self._promised[recall.lender] = self.promised(recall.lender).minus(each.promised)
        _drop(self._of_job, recall.job, each)
        _drop(self._on_machine, recall.machine, each)
        self.told(each)

    def told(self, each: OpenReclaim) -> None:
        """The borrowed tasks were told: from now on they count as stopping."""
        if self._untold.pop(each.recall.number, None) is not None:
            self._note_chosen()

    def _note_chosen(self) -> None:
        """Counts anew which tasks are chosen and not told yet: those of the newest recalls."""
        self._chosen, self._chosen_use = set(), {}
        for each in self._untold.values():
            for placed in self.left(each.recall):
                key = Borrowed(placed.job.number, placed.task, placed.attempt)
                if placed.stopping_at is None and key not in self._chosen:
                    self._chosen.add(key)
                    taken = amounts_of(placed.job.spec)
                    self._chosen_use[placed.job.spec.team] = self.chosen_of(
                        placed.job.spec.team
                    ).plus(taken)

    # What they mean

    def left(self, recall: Reclaim) -> list[Placement]:
        """The borrowed tasks that are not proven over."""
        left = []
        for borrowed in recall.borrowed:
            job = self._ledger.state.jobs.get(borrowed.job)
            placed = job.placements.get(borrowed.task) if job is not None else None
            if placed is not None and placed.attempt == borrowed.attempt:
                left.append(placed)
        return left

    def promised(self, team: str) -> Amounts:
        """What the recalls will give a lender."""
        return self._promised.get(team, NOTHING)

    def chosen_of(self, team: str) -> Amounts:
        """What the tasks of a team take that were chosen and not told."""
        return self._chosen_use.get(team, NOTHING)

    @property
    def chosen(self) -> int:
        """How many tasks were chosen and not told."""
        return len(self._chosen)

    def is_chosen(self, placed: Placement) -> bool:
        """Whether a recall that is not told yet has chosen the task."""
        return (placed.job.number, placed.task, placed.attempt) in self._chosen

    def of(self, job: Job) -> list[OpenReclaim]:
        """The recalls for a job, the oldest first."""
        return list(self._of_job.get(job.number, ()))

    def tasks_for(self, job: Job) -> int:
        """For how many tasks of the job room is being recalled."""
        return sum(each.recall.tasks for each in self._of_job.get(job.number, ()))

    def tasks_before(self, each: OpenReclaim) -> int:
        """For how many tasks of the same job room was recalled before this."""
        found = self._of_job[each.recall.job]
        return sum(other.recall.tasks for other in found[: found.index(each)])

    def machines(self) -> dict[str, list[OpenReclaim]]:
        """The recalls by machine; for reading only."""
        return self._on_machine

    def kept(self, recalls: list[OpenReclaim]) -> list[wire.Spec]:
        """The tasks for which these recalls keep room."""
        jobs = self._ledger.state.jobs
        return [
            jobs[each.recall.job].spec
            for each in recalls
            if each.recall.job in jobs
            for _ in range(each.recall.tasks)
        ]


def _drop(index: dict[Any, list[OpenReclaim]], key: Any, each: OpenReclaim) -> None:
    found = index[key]
    found.remove(each)
    if not found:
        del index[key]
