"""How the tasks of a gang find each other on the stand-in workers of one deployment.

They meet by their attempt number, start when the last has its image, complete together, notice when
one is gone, and save together.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from ..protocol import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..runtime.loop import Runtime, Timer
    from .held_task import HeldTask

log = logging.getLogger(__name__)

LOOK_S = 0.5
"""How often hung machines are looked for, and what waits for one is tried again."""


class Host(Protocol):
    """What a meeting needs of a worker."""

    hung: bool
    slowness: float

    def set_state(self, held: HeldTask, state: str) -> None:
        """The task goes on in that state, and this is reported."""

    def exit(self, held: HeldTask, cause: str) -> None:
        """The task exits."""


class _Meeting:
    """The tasks of one attempt that are on machines with their image."""

    def __init__(self, spec: wire.Spec) -> None:
        self.spec = spec
        self.members: dict[str, tuple[Host, HeldTask]] = {}
        self.began_at: float | None = None
        self.stopped_at: float | None = None
        self.told: set[str] = set()
        """Tasks that were told to save."""
        self.saved: set[str] = set()
        self.is_over = False
        self.completion: Timer | None = None


class GangRendezvous:
    """Owns the meetings, and the progress of gangs that is safe."""

    def __init__(
        self,
        runtime: Runtime,
        wait_s: float,
        peer_s: float,
        run_time: Callable[[str], float | None],
    ) -> None:
        self._runtime, self._wait_s, self._peer_s = runtime, wait_s, peer_s
        self._run_time = run_time
        self._meetings: dict[tuple[str, int], _Meeting] = {}
        self.saved_progress_s: dict[str, float] = {}
        """By job, its saved progress in seconds."""
        self.started_attempts: list[tuple[str, int]] = []
        """Jobs and attempts that began, in order."""
        self.exits: list[tuple[str, int, str]] = []
        """Tasks, attempts and causes, in order."""

    def arrive(self, host: Host, held: HeldTask, spec: wire.Spec) -> None:
        """A task has its image."""
        ref = held.task.partition("/")[0]
        meeting = self._meetings.setdefault((ref, held.attempt), _Meeting(spec))
        meeting.members[held.task] = host, held
        host.set_state(held, wire.WAITING)
        held.timer = self._runtime.after(self._wait_s, host.exit, held, wire.CAUSE_ALONE)
        if len(meeting.members) == spec.tasks and meeting.began_at is None:
            self._begin(ref, held.attempt, meeting)

    def _begin(self, ref: str, attempt: int, meeting: _Meeting) -> None:
        meeting.began_at = self._runtime.now()
        self.started_attempts.append((ref, attempt))
        log.info(
            "event=gang_begins job=%s attempt=%d progress=%.1f",
            ref,
            attempt,
            self.saved_progress_s.get(ref, 0.0),
        )
        for host, held in meeting.members.values():
            if held.timer is not None:
                held.timer.cancel()
            host.set_state(held, wire.RUNNING)
        length = self._run_time(ref)
        if length is not None:
            slowest = max(host.slowness for host, _ in meeting.members.values())
            left = max(0.0, length - self.saved_progress_s.get(ref, 0.0)) * slowest
            meeting.completion = self._runtime.after(left, self._complete, meeting)
        self._runtime.after(LOOK_S, self._look, meeting, None)

    def _complete(self, meeting: _Meeting) -> None:
        if meeting.is_over or meeting.stopped_at is not None:
            return
        if any(host.hung for host, _ in meeting.members.values()):
            meeting.completion = self._runtime.after(LOOK_S, self._complete, meeting)
            return
        meeting.is_over = True
        self._exit_all(meeting, wire.CAUSE_DONE)

    def _look(self, meeting: _Meeting, hung_since: float | None) -> None:
        """A hung machine is noticed like one that is gone."""
        if meeting.is_over:
            return
        now = self._runtime.now()
        if not any(host.hung for host, _ in meeting.members.values()):
            hung_since = None
        elif hung_since is None:
            hung_since = now
        elif now - hung_since > self._peer_s:
            self._break(meeting)
            return
        self._runtime.after(LOOK_S, self._look, meeting, hung_since)

    def left(self, held: HeldTask, cause: str) -> None:
        """A task of a gang ended, or its machine did."""
        ref = held.task.partition("/")[0]
        meeting = self._meetings.get((ref, held.attempt))
        if meeting is None or meeting.members.pop(held.task, None) is None:
            return
        self.exits.append((held.task, held.attempt, cause))
        if meeting.began_at is not None and not meeting.is_over:
            self._note_progress(meeting, ref)
            meeting.is_over = True
            self._runtime.after(self._peer_s, self._exit_all, meeting, wire.CAUSE_PEERS)

    def _break(self, meeting: _Meeting) -> None:
        self._note_progress(meeting, next(iter(meeting.members)).partition("/")[0])
        meeting.is_over = True
        self._exit_all(meeting, wire.CAUSE_PEERS)

    def _note_progress(self, meeting: _Meeting, ref: str) -> None:
        """The gang falls back to its last checkpoint."""
        every, began_at = meeting.spec.checkpoint_interval_s, meeting.began_at
        if every and began_at is not None:
            until = meeting.stopped_at or self._runtime.now()
            progress = self.saved_progress_s.get(ref, 0.0) + until - began_at
            self.saved_progress_s[ref] = max(
                self.saved_progress_s.get(ref, 0.0), progress // every * every
            )

    def _exit_all(self, meeting: _Meeting, cause: str) -> None:
        for host, held in list(meeting.members.values()):
            if host.hung:
                self._runtime.after(LOOK_S, self._exit_all, meeting, cause)
            else:
                host.exit(held, cause)

    def stop(self, host: Host, held: HeldTask, grace: float) -> None:
        """A task of a gang is told to stop."""
        ref = held.task.partition("/")[0]
        meeting = self._meetings.get((ref, held.attempt))
        saves = (
            meeting is not None
            and meeting.began_at is not None
            and not meeting.is_over
            and meeting.spec.checkpoint_interval_s > 0
            and grace >= meeting.spec.checkpoint_save_s
        )
        if meeting is None or not saves:
            host.exit(held, wire.CAUSE_HALTED)
            return
        if held.task in meeting.told:
            return
        if meeting.stopped_at is None:
            meeting.stopped_at = self._runtime.now()
            self._runtime.after(self._peer_s, self._end_of_stop, meeting)
        meeting.told.add(held.task)
        host.set_state(held, wire.FLUSHING)
        self._runtime.after(meeting.spec.checkpoint_save_s, self._saved, meeting, ref, held.task)

    def _saved(self, meeting: _Meeting, ref: str, task: str) -> None:
        if meeting.is_over or task not in meeting.members:
            return
        meeting.saved.add(task)
        if len(meeting.saved) == meeting.spec.tasks and meeting.stopped_at is not None:
            began_at = meeting.began_at or 0.0
            self.saved_progress_s[ref] = (
                self.saved_progress_s.get(ref, 0.0) + meeting.stopped_at - began_at
            )
            meeting.is_over = True
            for _, held in meeting.members.values():
                held.kept = True
            self._exit_all(meeting, wire.CAUSE_HALTED)

    def _end_of_stop(self, meeting: _Meeting) -> None:
        """Tasks that were not told in time exit, and the save fails."""
        late = [task for task in meeting.members if task not in meeting.told]
        for task in late:
            if not meeting.is_over and task in meeting.members:
                host, held = meeting.members[task]
                host.exit(held, wire.CAUSE_PEERS)
