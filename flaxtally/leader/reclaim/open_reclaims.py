"""The open reclaims, by job and by machine, with their victims.

A *reclaim* takes lent capacity back for a job of the lender. Its *victims* are the tasks of
borrowers that it stops.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from ...lending.entitlement import NO_RESOURCES, Amounts, compute_amounts

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...ledger.reclaims import Reclaim
    from ...ledger.write_ahead_log import WriteAheadLog
    from ...protocol import wire

Key = TypeVar("Key")


class OpenReclaim:
    """An open reclaim, and what this leader has done for it."""

    __slots__ = ("is_committed", "is_forced", "is_late", "promised", "reclaim", "stops_sent_at")

    def __init__(self, reclaim: Reclaim, *, is_committed: bool) -> None:
        """`is_committed`: whether its record is stored, so that its victims may be stopped."""
        self.reclaim = reclaim
        self.is_committed = is_committed
        self.promised = NO_RESOURCES
        """The resources that the lender will get from it."""
        self.stops_sent_at: float | None = None
        """The time at which the victims were last sent a stop command in this term."""
        self.is_forced = False
        """Whether the last stop was sent without a grace period."""
        self.is_late = False
        """Whether its deadline has passed."""


class OpenReclaims:
    """Owns the open reclaims. `will_stop` is true of their victims before a stop is sent."""

    def __init__(self, ledger: WriteAheadLog) -> None:
        """`ledger`: its state says which victims still have a placement."""
        self._ledger = ledger
        self._by_number: dict[int, OpenReclaim] = {}
        self._by_job: dict[int, list[OpenReclaim]] = {}
        self._by_machine: dict[str, list[OpenReclaim]] = {}
        self._promised: dict[str, Amounts] = {}
        self._unsent: dict[int, OpenReclaim] = {}
        """Reclaims whose victims have not been sent a stop command, by number."""
        self._chosen: set[Placement] = set()
        """The victims of these reclaims that are not already stopping."""
        self._chosen_usage: dict[str, Amounts] = {}
        """The resources that the chosen tasks use, by team."""

    def __len__(self) -> int:
        """The number of open reclaims."""
        return len(self._by_number)

    def __iter__(self) -> Iterator[OpenReclaim]:
        """Iterates over a copy: reclaims may be added and removed meanwhile."""
        return iter(list(self._by_number.values()))

    def is_open(self, entry: OpenReclaim) -> bool:
        """Whether the reclaim is still open."""
        return self._by_number.get(entry.reclaim.number) is entry

    # Changes

    def add(self, entry: OpenReclaim) -> None:
        """Adds a reclaim that was started, or moved to another machine."""
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
        """Removes a reclaim that is finished, or is being moved to another machine."""
        reclaim = entry.reclaim
        del self._by_number[reclaim.number]
        self._promised[reclaim.lender] = self.get_promised(reclaim.lender).minus(entry.promised)
        _remove_entry(self._by_job, reclaim.job, entry)
        _remove_entry(self._by_machine, reclaim.machine, entry)
        self.mark_stops_sent(entry)

    def mark_stops_sent(self, entry: OpenReclaim) -> None:
        """Records that the victims were commanded to stop: they are no longer only chosen."""
        if self._unsent.pop(entry.reclaim.number, None) is not None:
            self._recount_chosen()

    def _recount_chosen(self) -> None:
        self._chosen = set()
        self._chosen_usage = {}
        for entry in self._unsent.values():
            for placed in self.find_remaining_victims(entry.reclaim):
                if placed.stopping_at is None and placed not in self._chosen:
                    self._chosen.add(placed)
                    team = placed.job.spec.team
                    usage = self.get_chosen_usage(team).plus(compute_amounts(placed.job.spec))
                    self._chosen_usage[team] = usage

    # Queries

    def find_remaining_victims(self, reclaim: Reclaim) -> list[Placement]:
        """Returns the victims that are not proven to be terminated.

        A task of a gang that was replaced on another machine under the same attempt is none.
        """
        remaining = []
        for victim in reclaim.borrowed:
            job = self._ledger.state.jobs.get(victim.job)
            placed = job.placements.get(victim.task) if job is not None else None
            if (
                placed is not None
                and placed.attempt == victim.attempt
                and placed.machine == reclaim.machine
            ):
                remaining.append(placed)
        return remaining

    def get_promised(self, team: str) -> Amounts:
        """Returns the resources that a lender will get from its open reclaims."""
        return self._promised.get(team, NO_RESOURCES)

    def get_chosen_usage(self, team: str) -> Amounts:
        """Returns the usage of a team's tasks that are chosen and not yet commanded to stop."""
        return self._chosen_usage.get(team, NO_RESOURCES)

    @property
    def chosen_count(self) -> int:
        """The number of tasks that are chosen and not yet commanded to stop."""
        return len(self._chosen)

    def is_chosen(self, placed: Placement) -> bool:
        """Whether the task is the victim of a reclaim that has not sent its stops."""
        return placed in self._chosen

    def will_stop(self, placed: Placement) -> bool:
        """Whether the task was commanded to stop, or will be by a reclaim."""
        return placed.stopping_at is not None or self.is_chosen(placed)

    def list_for_job(self, job: Job) -> list[OpenReclaim]:
        """Returns the reclaims for a job, the oldest first."""
        return list(self._by_job.get(job.number, ()))

    def count_tasks_for(self, job: Job) -> int:
        """Returns the number of the job's tasks for which capacity is being reclaimed."""
        return sum(entry.reclaim.tasks for entry in self._by_job.get(job.number, ()))

    def has_reclaim_for_each_task(self, job: Job) -> bool:
        """Whether there is a reclaim for each pending task of the job."""
        return self.count_tasks_for(job) >= job.pending_count

    def count_tasks_before(self, entry: OpenReclaim) -> int:
        """Returns the number of tasks that older reclaims for the same job serve."""
        entries = self._by_job[entry.reclaim.job]
        return sum(other.reclaim.tasks for other in entries[: entries.index(entry)])

    def get_by_machine(self) -> dict[str, list[OpenReclaim]]:
        """Returns the reclaims by machine; callers must not change the result."""
        return self._by_machine

    def get_reserved_specs(self, entries: list[OpenReclaim]) -> list[wire.Spec]:
        """Returns the spec of each task for which these reclaims reserve capacity."""
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
