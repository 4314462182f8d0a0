"""Finds slow machines: those whose tasks run longer than others of the same job."""

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

MIN_RUN_TIME_SAMPLES = 6
"""The fewest recorded run times of a job from which a median is computed."""
MAX_RUN_TIME_SAMPLES = 64
"""The most run times that are kept of a job."""
MIN_LATE_TASKS = 2
"""The late tasks after which a machine counts as slow; a single task must be very late."""

Attempt = tuple[int, int, int]
"""The numbers of a job, of its task and of the task's attempt."""


class Stragglers(TermActor):
    """Owns the run times of finished tasks by job, and the late tasks by machine.

    Run times within a job differ by half, and the speeds of sound machines by a tenth. So a single
    task that is a little late proves nothing; two late tasks on one machine do, or one that is very
    late. A slow machine gets no batch tasks for a while and does not count as free capacity; its
    tasks that can write a checkpoint continue elsewhere.
    """

    def __init__(self, term: Term, jobs: JobRegistry, commands: CommandSender) -> None:
        """Starts without run times; `commands` stops tasks that leave a slow machine."""
        super().__init__(term)
        self._jobs = jobs
        self._commands = commands
        self._run_times_s: dict[int, list[float]] = {}
        """The run times of finished tasks, by job number, in ascending order."""
        self._late_attempts: dict[str, set[Attempt]] = {}
        self._slow_until: dict[str, float] = {}
        self._ignore_ends_until = float("-inf")
        """The time until which run times are unknown: tasks may have finished during a pause."""

    def on_pause(self) -> None:
        """Ignores run times for a while: tasks that finished during the pause are noticed late."""
        self._ignore_ends_until = self.runtime.now() + 2 * self.policy.machine_suspect

    def on_task_done(self, machine: Machine, placement: Placement) -> None:
        """Compares the run time of a task that succeeded with the median of its job."""
        now = self.runtime.now()
        if (
            placement.job.spec.job_kind != wire.ARRAY
            or placement.started_at is None
            or placement.is_inherited
            or now < self._ignore_ends_until
        ):
            return
        median_s = self._compute_median_run_time_s(placement.job)
        run_time_s = now - placement.started_at
        # Later attempts may have resumed from a checkpoint.
        is_first_attempt = placement.attempt == 1
        if is_first_attempt:
            self._record_run_time(placement.job, run_time_s)
        if not median_s:
            return
        if run_time_s > self.policy.late * median_s:
            self._record_late_task(machine, placement, run_time_s / median_s)
        elif is_first_attempt and run_time_s > median_s / self.policy.late:
            # The run time is normal: the late tasks on this machine were late by chance.
            self._clear_machine(machine.name)

    def check_running_tasks(self) -> None:
        """Finds running tasks that are already late; clears machines that were slow long enough."""
        now = self.runtime.now()
        for name, until in list(self._slow_until.items()):
            if now > until:
                self._clear_machine(name)
        if now < self._ignore_ends_until:
            return
        for job in list(self._jobs.live_jobs.values()):
            median_s = self._compute_median_run_time_s(job)
            if median_s:
                self._check_tasks_of(job, median_s, now)
        self._remove_finished_entries()

    def _check_tasks_of(self, job: Job, median_s: float, now: float) -> None:
        for placement in list(job.placements.values()):
            if (
                placement.started_at is None
                or placement.state != wire.RUNNING
                or placement.stopping_at is not None
            ):
                continue
            ratio = (now - placement.started_at) / median_s
            machine = self.fleet.machines.get(placement.machine)
            if ratio > self.policy.late and machine is not None:
                self._record_late_task(machine, placement, ratio)

    def _remove_finished_entries(self) -> None:
        """Removes the entries of finished jobs and of removed machines."""
        self._run_times_s = {
            number: run_times_s
            for number, run_times_s in self._run_times_s.items()
            if number in self._jobs.live_jobs
        }
        self._late_attempts = {
            name: attempts
            for name, attempts in self._late_attempts.items()
            if name in self.fleet.machines
        }

    def _record_run_time(self, job: Job, run_time_s: float) -> None:
        run_times_s = self._run_times_s.setdefault(job.number, [])
        insort(run_times_s, run_time_s)
        if len(run_times_s) > MAX_RUN_TIME_SAMPLES:
            # Thin out evenly, so that the median stays the same.
            del run_times_s[:: MAX_RUN_TIME_SAMPLES // 2]

    def _compute_median_run_time_s(self, job: Job) -> float:
        """Returns the median run time of the job's tasks; 0 while too few have finished.

        The shortest tasks finish first, so tasks that still run count as longer than these.
        """
        run_times_s = self._run_times_s.get(job.number, ())
        if len(run_times_s) < MIN_RUN_TIME_SAMPLES:
            return 0.0
        done_count = len(job.done_tasks)
        seen_count = done_count + len(job.placements)
        median_index = int(len(run_times_s) * seen_count / (2 * max(1, done_count)))
        return run_times_s[median_index] if median_index < len(run_times_s) else 0.0

    def _record_late_task(self, machine: Machine, placement: Placement, ratio: float) -> None:
        """Records a late task; marks the machine as slow if that is enough proof.

        `ratio`: the task's run time divided by the median of its job.
        """
        late_attempts = self._late_attempts.setdefault(machine.name, set())
        late_attempts.add((placement.job.number, placement.task, placement.attempt))
        if machine.name in self._slow_until:
            return
        if len(late_attempts) >= MIN_LATE_TASKS or ratio >= self.policy.very_late:
            self._mark_slow(machine, len(late_attempts), ratio)

    def _mark_slow(self, machine: Machine, late_count: int, ratio: float) -> None:
        log.info(
            "event=machine_slow term=%d machine=%s type=%s late=%d ratio=%.1f",
            self.term.number,
            machine.name,
            machine.machine_type,
            late_count,
            ratio,
        )
        self._slow_until[machine.name] = self.runtime.now() + self.policy.slow_rest
        machine.is_slow = True
        machine.mark_changed()
        for placement in machine.placements.values():
            spec = placement.job.spec
            can_save = (
                spec.job_kind == wire.ARRAY
                and spec.checkpoint_interval_s
                and placement.state == wire.RUNNING
            )
            if can_save and placement.stopping_at is None:
                self._commands.stop_task(placement, spec.checkpoint_save_s)

    def _clear_machine(self, name: str) -> None:
        self._slow_until.pop(name, None)
        self._late_attempts.pop(name, None)
        machine = self.fleet.machines.get(name)
        if machine is not None:
            machine.is_slow = False
            machine.mark_changed()
