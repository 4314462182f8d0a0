"""Finds slow machines by comparing the run times of tasks of the same job."""

from __future__ import annotations

import logging
from bisect import insort
from typing import TYPE_CHECKING

from ...protocol import wire
from ..term import Term, TermActor

if TYPE_CHECKING:
    from ...ledger.job import Job
    from ...ledger.placement import Placement
    from ...planning.fleet import Machine
    from ..commands import CommandSender
    from ..jobs import JobRegistry

log = logging.getLogger(__name__)

LEAST_ENDED = 6
MOST_KEPT = 64

Task = tuple[int, int, int]


class Stragglers(TermActor):
    """Owns the lengths of ended tasks by job, and which tasks of a machine took, or take, too long.

    Tasks of one job differ by half among themselves, and sound machines by a tenth. So one task
    that takes a little too long proves nothing; two on one machine, or one that takes very long,
    do. Such a machine gets no batch tasks for a while and is not counted as room; what can be saved
    there goes on elsewhere.
    """

    def __init__(self, term: Term, jobs: JobRegistry, orders: CommandSender) -> None:
        super().__init__(term)
        self.jobs, self.commands = jobs, orders
        self._lengths: dict[int, list[float]] = {}
        self._late: dict[str, set[Task]] = {}
        self._slow: dict[str, float] = {}
        self._blind_until = float("-inf")
        """Until then run times can't be told: the ends of tasks were reported during a pause."""

    def on_pause(self) -> None:
        """The process stood still: what ended meanwhile is heard of late."""
        self._blind_until = self.runtime.now() + 2 * self.policy.machine_suspect

    def on_task_done(self, machine: Machine, placed: Placement) -> None:
        """A task ended with its result."""
        if (
            placed.job.spec.job_kind != wire.ARRAY
            or placed.started_at is None
            or placed.is_inherited
        ):
            return
        if self.runtime.now() < self._blind_until:
            return
        usual, length = self._usual(placed.job), self.runtime.now() - placed.started_at
        if placed.attempt == 1:
            # Later attempts may have gone on from a checkpoint.
            lengths = self._lengths.setdefault(placed.job.number, [])
            insort(lengths, length)
            if len(lengths) > MOST_KEPT:
                del lengths[:: MOST_KEPT // 2]
        if not usual:
            return
        if length > self.policy.late * usual:
            self._note(machine, placed, length / usual)
        elif placed.attempt == 1 and length > usual / self.policy.late:
            # As long as it should be: what took longer here was chance.
            self._clear(machine.name)

    def watch(self) -> None:
        """Finds tasks that run for too long already, and ends the rests that are over."""
        now = self.runtime.now()
        for name, until in list(self._slow.items()):
            if now > until:
                self._clear(name)
        if now < self._blind_until:
            return
        for job in list(self.jobs.live_jobs.values()):
            usual = self._usual(job)
            if not usual:
                continue
            for placed in list(job.placements.values()):
                if (
                    placed.started_at is None
                    or placed.state != wire.RUNNING
                    or placed.stopping_at is not None
                ):
                    continue
                ratio = (now - placed.started_at) / usual
                machine = self.fleet.machines.get(placed.machine)
                if ratio > self.policy.late and machine is not None:
                    self._note(machine, placed, ratio)
        self._lengths = {
            no: lengths for no, lengths in self._lengths.items() if no in self.jobs.live_jobs
        }
        self._late = {
            name: tasks for name, tasks in self._late.items() if name in self.fleet.machines
        }

    def _usual(self, job: Job) -> float:
        """The middle length of the job's tasks; 0 while too few have ended to tell.

        Those that ended first are the short ones: tasks that still run count as longer than these.
        """
        lengths = self._lengths.get(job.number, ())
        if len(lengths) < LEAST_ENDED:
            return 0.0
        ended = len(job.done_tasks)
        middle = int(len(lengths) * (ended + len(job.placements)) / (2 * max(1, ended)))
        return lengths[middle] if middle < len(lengths) else 0.0

    def _note(self, machine: Machine, placed: Placement, ratio: float) -> None:
        late = self._late.setdefault(machine.name, set())
        late.add((placed.job.number, placed.task, placed.attempt))
        if machine.name in self._slow or (len(late) < 2 and ratio < self.policy.very_late):
            return
        log.info(
            "event=machine_slow term=%d machine=%s type=%s late=%d ratio=%.1f",
            self.term.number,
            machine.name,
            machine.machine_type,
            len(late),
            ratio,
        )
        self._slow[machine.name] = self.runtime.now() + self.policy.slow_rest
        machine.is_slow = True
        machine.mark_changed()
        for other in machine.placements.values():
            spec = other.job.spec
            saves = (
                spec.job_kind == wire.ARRAY
                and spec.checkpoint_interval_s
                and other.state == wire.RUNNING
            )
            if saves and other.stopping_at is None:
                self.commands.stop_task(other, spec.checkpoint_save_s)

    def _clear(self, name: str) -> None:
        self._slow.pop(name, None)
        self._late.pop(name, None)
        machine = self.fleet.machines.get(name)
        if machine is not None:
            machine.is_slow = False
            machine.mark_changed()
