"""The rendezvous of a gang's tasks on the fake workers of one deployment.

The tasks of an attempt start when the last one has its image, complete together, exit when one of
them is lost, and save their checkpoint together.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from ..protocol import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Runtime, Timer
    from .worker_task import WorkerTask

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.5
"""Seconds between checks for hung machines, and between retries of an exit on a hung machine."""


class Host(Protocol):
    """The part of a worker that a rendezvous uses."""

    hung: bool
    slowness: float

    def set_state(self, worker_task: WorkerTask, state: str) -> None:
        """Changes the state of the task and reports it."""

    def exit(self, worker_task: WorkerTask, cause: str) -> None:
        """Ends the task."""


class _Rendezvous:
    """The tasks of one attempt whose machines have their image."""

    def __init__(self, spec: wire.Spec) -> None:
        self.spec = spec
        self.members: dict[str, tuple[Host, WorkerTask]] = {}
        self.started_at: float | None = None
        self.stopped_at: float | None = None
        self.stopping: set[str] = set()
        """Tasks that have received a stop command and save their checkpoint."""
        self.saved: set[str] = set()
        """Tasks that have saved their checkpoint."""
        self.is_finished = False
        self.completion: Timer | None = None


class GangRendezvous:
    """Owns the rendezvous of all attempts and the saved progress of gangs."""

    def __init__(
        self,
        runtime: Runtime,
        wait_s: float,
        peer_s: float,
        run_time: Callable[[str], float | None],
    ) -> None:
        """`wait_s`: the time for which a task waits for the others before it exits.

        `peer_s`: the time after which the tasks notice that another one is lost. `run_time(ref)`
        returns the seconds that a job's tasks run; None: until they are stopped.
        """
        self._runtime, self._wait_s, self._peer_s = runtime, wait_s, peer_s
        self._run_time = run_time
        self._rendezvous_by_attempt: dict[tuple[str, int], _Rendezvous] = {}
        self.saved_progress_s: dict[str, float] = {}
        """Seconds of run time that each job's last checkpoint covers."""
        self.started_attempts: list[tuple[str, int]] = []
        """Attempts of gangs (job, attempt) that started with all tasks, in order."""
        self.exits: list[tuple[str, int, str]] = []
        """Exits of tasks (task, attempt, cause), in order."""

    def arrive(self, host: Host, worker_task: WorkerTask, spec: wire.Spec) -> None:
        """Adds a task that has its image; the last one of the attempt starts all."""
        ref = worker_task.task.partition("/")[0]
        rendezvous = self._rendezvous_by_attempt.setdefault(
            (ref, worker_task.attempt), _Rendezvous(spec)
        )
        rendezvous.members[worker_task.task] = host, worker_task
        host.set_state(worker_task, wire.WAITING)
        worker_task.timer = self._runtime.after(
            self._wait_s, host.exit, worker_task, wire.CAUSE_INCOMPLETE
        )
        if len(rendezvous.members) == spec.tasks and rendezvous.started_at is None:
            self._start(ref, worker_task.attempt, rendezvous)

    def _start(self, ref: str, attempt: int, rendezvous: _Rendezvous) -> None:
        rendezvous.started_at = self._runtime.now()
        self.started_attempts.append((ref, attempt))
        log.info(
            "event=gang_begins job=%s attempt=%d progress=%.1f",
            ref,
            attempt,
            self.saved_progress_s.get(ref, 0.0),
        )
        for host, worker_task in rendezvous.members.values():
            if worker_task.timer is not None:
                worker_task.timer.cancel()
            host.set_state(worker_task, wire.RUNNING)
        run_time_s = self._run_time(ref)
        if run_time_s is not None:
            max_slowness = max(host.slowness for host, _ in rendezvous.members.values())
            remaining_s = max(0.0, run_time_s - self.saved_progress_s.get(ref, 0.0)) * max_slowness
            rendezvous.completion = self._runtime.after(remaining_s, self._complete, rendezvous)
        self._runtime.after(CHECK_INTERVAL_S, self._check_hung_machines, rendezvous, None)

    def _complete(self, rendezvous: _Rendezvous) -> None:
        if rendezvous.is_finished or rendezvous.stopped_at is not None:
            return
        if any(host.hung for host, _ in rendezvous.members.values()):
            rendezvous.completion = self._runtime.after(
                CHECK_INTERVAL_S, self._complete, rendezvous
            )
            return
        rendezvous.is_finished = True
        self._exit_all(rendezvous, wire.CAUSE_DONE)

    def _check_hung_machines(self, rendezvous: _Rendezvous, hung_since: float | None) -> None:
        """Fails the attempt when a machine hangs for longer than `peer_s`, as if it were lost."""
        if rendezvous.is_finished:
            return
        now = self._runtime.now()
        if not any(host.hung for host, _ in rendezvous.members.values()):
            hung_since = None
        elif hung_since is None:
            hung_since = now
        elif now - hung_since > self._peer_s:
            self._fail(rendezvous)
            return
        self._runtime.after(CHECK_INTERVAL_S, self._check_hung_machines, rendezvous, hung_since)

    def leave(self, worker_task: WorkerTask, cause: str) -> None:
        """Removes a task that ended, or whose machine was lost; the others exit after `peer_s`."""
        ref = worker_task.task.partition("/")[0]
        rendezvous = self._rendezvous_by_attempt.get((ref, worker_task.attempt))
        if rendezvous is None or rendezvous.members.pop(worker_task.task, None) is None:
            return
        self.exits.append((worker_task.task, worker_task.attempt, cause))
        if rendezvous.started_at is not None and not rendezvous.is_finished:
            self._save_progress(rendezvous, ref)
            rendezvous.is_finished = True
            self._runtime.after(self._peer_s, self._exit_all, rendezvous, wire.CAUSE_PEER_LOST)

    def _fail(self, rendezvous: _Rendezvous) -> None:
        self._save_progress(rendezvous, next(iter(rendezvous.members)).partition("/")[0])
        rendezvous.is_finished = True
        self._exit_all(rendezvous, wire.CAUSE_PEER_LOST)

    def _save_progress(self, rendezvous: _Rendezvous, ref: str) -> None:
        """Sets the saved progress to the gang's last checkpoint."""
        interval_s, started_at = rendezvous.spec.checkpoint_interval_s, rendezvous.started_at
        if interval_s and started_at is not None:
            ended_at = rendezvous.stopped_at or self._runtime.now()
            progress = self.saved_progress_s.get(ref, 0.0) + ended_at - started_at
            self.saved_progress_s[ref] = max(
                self.saved_progress_s.get(ref, 0.0), progress // interval_s * interval_s
            )

    def _exit_all(self, rendezvous: _Rendezvous, cause: str) -> None:
        for host, worker_task in list(rendezvous.members.values()):
            self._exit_unless_hung(host, worker_task, cause)

    def _exit_unless_hung(self, host: Host, worker_task: WorkerTask, cause: str) -> None:
        """Ends the task as soon as its machine does not hang."""
        if host.hung:
            self._runtime.after(CHECK_INTERVAL_S, self._exit_unless_hung, host, worker_task, cause)
        else:
            host.exit(worker_task, cause)

    def stop(self, host: Host, worker_task: WorkerTask, grace_s: float) -> None:
        """Stops a gang's task; it saves first if the attempt runs and the grace period allows."""
        ref = worker_task.task.partition("/")[0]
        rendezvous = self._rendezvous_by_attempt.get((ref, worker_task.attempt))
        can_save = (
            rendezvous is not None
            and rendezvous.started_at is not None
            and not rendezvous.is_finished
            and rendezvous.spec.checkpoint_interval_s > 0
            and grace_s >= rendezvous.spec.checkpoint_save_s
        )
        if rendezvous is None or not can_save:
            host.exit(worker_task, wire.CAUSE_HALTED)
            return
        if worker_task.task in rendezvous.stopping:
            return
        if rendezvous.stopped_at is None:
            rendezvous.stopped_at = self._runtime.now()
            self._runtime.after(self._peer_s, self._exit_tasks_not_stopped, rendezvous)
        rendezvous.stopping.add(worker_task.task)
        host.set_state(worker_task, wire.FLUSHING)
        self._runtime.after(
            rendezvous.spec.checkpoint_save_s, self._on_saved, rendezvous, ref, worker_task.task
        )

    def _on_saved(self, rendezvous: _Rendezvous, ref: str, task: str) -> None:
        if rendezvous.is_finished or task not in rendezvous.members:
            return
        rendezvous.saved.add(task)
        if len(rendezvous.saved) == rendezvous.spec.tasks and rendezvous.stopped_at is not None:
            started_at = rendezvous.started_at or 0.0
            self.saved_progress_s[ref] = (
                self.saved_progress_s.get(ref, 0.0) + rendezvous.stopped_at - started_at
            )
            rendezvous.is_finished = True
            for _, worker_task in rendezvous.members.values():
                worker_task.kept = True
            self._exit_all(rendezvous, wire.CAUSE_HALTED)

    def _exit_tasks_not_stopped(self, rendezvous: _Rendezvous) -> None:
        """Ends tasks that received no stop command within `peer_s`; then the save fails."""
        not_stopped = [task for task in rendezvous.members if task not in rendezvous.stopping]
        for task in not_stopped:
            if not rendezvous.is_finished and task in rendezvous.members:
                host, worker_task = rendezvous.members[task]
                host.exit(worker_task, wire.CAUSE_PEER_LOST)
