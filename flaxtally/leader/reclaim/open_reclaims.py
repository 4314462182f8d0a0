"""The reclaims that have not ended: by job and by machine, with their victims.

A *reclaim* takes lent capacity back for a job of the lender. Its *victims* are the tasks of
borrowers that it stops.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from ...ledger.reclaims import Borrowed, Reclaim
from ...lending.entitlement import NO_RESOURCES, Amounts, compute_amounts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...ledger.write_ahead_log import WriteAheadLog
    from ...protocol import wire

Key = TypeVar("Key")


class OpenReclaim:
    """A reclaim that has not ended, and what this leader did about it."""

    __slots__ = ("is_committed", "is_forced", "is_late", "promised", "reclaim", "stops_sent_at")

    def __init__(self, reclaim: Reclaim, *, is_committed: bool) -> None:
        """`is_committed`: its record is stored, so its victims may be stopped."""
        self.reclaim = reclaim
        self.is_committed = is_committed
        self.promised = NO_RESOURCES
        """What it will give its lender."""
        self.stops_sent_at: float | None = None
        """When the victims were last sent a stop in this term."""
        self.is_forced = False
        """The last stop gave no grace period."""
        self.is_late = False
        """Its deadline has passed."""


class OpenReclaims:
    """Owns the open reclaims. Their victims count as leaving before a stop is sent to them."""

    def __init__(self, ledger: WriteAheadLog) -> None:
        """`ledger`: its state says which victims still have a placement."""
        self._ledger = ledger
        self._by_number: dict[int, OpenReclaim] = {}
        self._by_job: dict[int, list[OpenReclaim]] = {}
        self._by_machine: dict[str, list[OpenReclaim]] = {}
        self._promised: dict[str, Amounts] = {}
        self._unsent: dict[int, OpenReclaim] = {}
        """Reclaims whose victims were not sent a stop yet."""
        self._chosen: set[Borrowed] = set()
        """The victims of these."""
        self._chosen_usage: dict[str, Amounts] = {}
        """What the chosen tasks take, by team."""

    def __len__(self) -> int:
        """How many reclaims are open."""
        return len(self._by_number)

    def __iter__(self) -> Iterator[OpenReclaim]:
        """The open reclaims; they may be added and removed meanwhile."""
        return iter(list(self._by_number.values()))

    def is_open(self, entry: OpenReclaim) -> bool:
        """Whether the reclaim has not ended."""
        return self._by_number.get(entry.reclaim.number) is entry

    # Changes

    def add(self, entry: OpenReclaim) -> None:
        """Adds a reclaim that started, or was moved to another machine."""
        reclaim = entry.reclaim
        job = self._ledger.state.jobs.get(reclaim.job)
        entry.promised = (
            compute_amounts(job.spec, reclaim.tasks) if job is not None else NO_RESOURCES
        )
        self._promised[reclaim.lender] = self.get_promised(reclaim.lender).plus(entry.promised)
        self._by_number[reclaim.number] = entry
        self._by_job.setdefault(reclaim.job, []).append(entry)
        self._by_machine.setdefault(reclaim.machine, []).append(entry)
        self._unsent[reclaim.number] = entry
        self._recount_chosen()

    def remove(self, entry: OpenReclaim) -> None:
        """Removes a reclaim that ended, or leaves its machine."""
        reclaim = entry.reclaim
        del self._by_number[reclaim.number]
        self._promised[reclaim.lender] = self.get_promised(reclaim.lender).minus(entry.promised)
        _remove_entry(self._by_job, reclaim.job, entry)
        _remove_entry(self._by_machine, reclaim.machine, entry)
        self.mark_stops_sent(entry)

    def mark_stops_sent(self, entry: OpenReclaim) -> None:
        """The victims were sent a stop: from now on they count as stopping."""
        if self._unsent.pop(entry.reclaim.number, None) is not None:
            self._recount_chosen()

    def _recount_chosen(self) -> None:
        self._chosen = set()
        self._chosen_usage = {}
        for entry in self._unsent.values():
            for placed in self.find_remaining_victims(entry.reclaim):
                victim = Borrowed(placed.job.number, placed.task, placed.attempt)
                if placed.stopping_at is None and victim not in self._chosen:
                    self._chosen.add(victim)
                    team = placed.job.spec.team
                    usage = self.get_chosen_usage(team).plus(compute_amounts(placed.job.spec))
                    self._chosen_usage[team] = usage

    # Queries

    def find_remaining_victims(self, reclaim: Reclaim) -> list[Placement]:
        """The victims that are not proven to have ended."""
        remaining = []
        for victim in reclaim.borrowed:
            job = self._ledger.state.jobs.get(victim.job)
            placed = job.placements.get(victim.task) if job is not None else None
            if placed is not None and placed.attempt == victim.attempt:
                remaining.append(placed)
        return remaining

    def get_promised(self, team: str) -> Amounts:
        """What the reclaims will give a lender."""
        return self._promised.get(team, NO_RESOURCES)

    def get_chosen_usage(self, team: str) -> Amounts:
        """What the tasks of a team take that were chosen and not sent a stop."""
        return self._chosen_usage.get(team, NO_RESOURCES)

    @property
    def chosen_count(self) -> int:
        """How many tasks were chosen and not sent a stop."""
        return len(self._chosen)

    def is_chosen(self, placed: Placement) -> bool:
        """Whether the task is the victim of a reclaim that has not sent its stops."""
        return (placed.job.number, placed.task, placed.attempt) in self._chosen

    def is_leaving(self, placed: Placement) -> bool:
        """Whether the task was sent a stop, or will be by a reclaim."""
        return placed.stopping_at is not None or self.is_chosen(placed)

    def for_job(self, job: Job) -> list[OpenReclaim]:
        """The reclaims for a job, the oldest first."""
        return list(self._by_job.get(job.number, ()))

    def count_tasks_for(self, job: Job) -> int:
        """For how many tasks of the job capacity is being reclaimed."""
        return sum(entry.reclaim.tasks for entry in self._by_job.get(job.number, ()))

    def is_served(self, job: Job) -> bool:
        """Whether there is a reclaim for each pending task of the job."""
        return self.count_tasks_for(job) >= job.pending_count

    def count_tasks_before(self, entry: OpenReclaim) -> int:
        """For how many tasks of the same job capacity was reclaimed before this one."""
        entries = self._by_job[entry.reclaim.job]
        return sum(other.reclaim.tasks for other in entries[: entries.index(entry)])

    def by_machine(self) -> dict[str, list[OpenReclaim]]:
        """The reclaims by machine; for reading only."""
        return self._by_machine

    def get_reserved_specs(self, entries: list[OpenReclaim]) -> list[wire.Spec]:
        """The spec of each task for which these reclaims reserve capacity."""
        jobs = self._ledger.state.jobs
        return [
            jobs[entry.reclaim.job].spec
            for entry in entries
            if entry.reclaim.job in jobs
            for _ in range(entry.reclaim.tasks)
        ]


def _remove_entry(index: dict[Key, list[OpenReclaim]], key: Key, entry: OpenReclaim) -> None:
    entries = index[key]
    entries.remove(entry)
    if not entries:
        del index[key]
