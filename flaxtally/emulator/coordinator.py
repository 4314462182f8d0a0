"""Runs one fleet size: starts the processes and the load, measures, and injects the faults."""

from __future__ import annotations

import logging
import re
from typing import TYPE_CHECKING, Any, NamedTuple

from ..runtime.actor import Actor
from .controller_settings import render_deploy_file, render_settings
from .history import History
from .link import ENVIRONMENT, LOOP_LATE_THRESHOLD_S, USERS, WORKERS
from .load import Load
from .messages import (
    Channel,
    Counters,
    DisconnectZone,
    Events,
    Hello,
    LoopLate,
    MachinesRemoved,
    MachineStarted,
    Message,
    RemoveMachines,
    RestartWorkers,
    Samples,
    StartLoad,
)
from .plan import Plan, save
from .processes import ProcessEndedError, Processes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from pathlib import Path

    from ..runtime.loop import Loop, Stream
    from ..runtime.loop_delay import LoopDelay

log = logging.getLogger(__name__)

STEADY, DISTURBED = "steady", "disturbed"
"""The phases of a run: one without faults; one in which a leader is killed, workers restart and a
zone is cut off.
"""
FAULTED_CELL = 0
"""The number of the cell whose leader is killed."""
LEADER_ELECTED_PATTERN = re.compile(r"event=leader_elected node=\S+ term=([0-9]+)")
TAKEOVER_POLL_INTERVAL_S = 0.1
"""Seconds between two reads of the controllers' logs, which show whether there is a new leader."""
DRAIN_S = 1.5
"""Seconds from the end of the last phase to the end of the run; by then every child process has
sent its events and samples of that phase.
"""
SAMPLE_INTERVAL_S = 1.0
"""Seconds between two samples of the processes' resource usage."""
CONNECT_TIMEOUT_S = 30.0
"""Seconds within which all child processes must connect to the coordinator."""
READY_FRACTION = 0.95
"""The warm-up ends when as many tasks run as this fraction of the service replicas."""
RESTART_DELAY_S = 2.0
"""Seconds after which a killed controller is started again."""
RESTARTED_FRACTION = 0.05
"""Fraction of the workers that restart, all at once."""
DISCONNECT_DURATION_LEASES = 1.5
"""How long the zone is cut off, in worker leases."""
LEADER_KILL_FRACTION, WORKER_RESTART_FRACTION, ZONE_DISCONNECT_FRACTION = 0.0, 0.2, 0.35
"""When each fault is injected, as a fraction of the disturbed phase's length."""
MIN_RECOVERY_LEASES = 1.0
"""The least time from the zone's reconnection to the end of the disturbed phase, in leases of a
worker.
"""


class Phase(NamedTuple):
    """An interval of the run with figures of its own; times of the monotonic clock, in seconds."""

    name: str
    begins_at: float
    ends_at: float


class Term(NamedTuple):
    """A term and the controller that leads in it; number 0: no controller has led yet."""

    number: int
    leader: str


class Recording:
    """Everything that was recorded in a run; `results` computes the figures from it."""

    def __init__(self, plan: Plan) -> None:
        self.history = History(plan)
        self.samples: dict[str, list[tuple[float, list[float]]]] = {}
        """Delays in seconds by what was measured, in batches with the time of their arrival."""
        self.counters: dict[str, list[Counters]] = {}
        """All counters that each child process sent, in order."""
        self.max_timer_delay_s = 0.0
        """The largest delay of a timer in the emulator's own processes, in seconds."""
        self.phases: list[Phase] = []
        self.warm_up_s: float | None = None
        """Seconds that the warm-up took; None: it did not end within the time limit."""
        self.leaders: dict[str, list[str]] = {}
        """The leaders, one per cell, by phase: at its beginning, or after the takeover in the
        disturbed phase.
        """
        self.leader_killed_at: float | None = None
        """When the leader was killed; None: it was not."""
        self.taken_over_at: float | None = None
        """When another controller was first seen to lead; None: it was not."""


class Coordinator(Actor):
    """Owns the processes of one fleet size and the phases of its run."""

    def __init__(self, loop: Loop, plan: Plan, folder: Path, progress: Callable[[str], None]):
        super().__init__(loop)
        self._loop, self._plan, self._folder, self._progress = loop, plan, folder, progress
        self._load = Load(plan)
        self._channels: list[Channel] = []
        self._failure: Exception | None = None
        self._has_begun = False
        self._started_at = loop.now()
        self.processes = Processes()
        self.recording = Recording(plan)

    # Start and end

    def run(self) -> Recording:
        """Runs the size; raises `ProcessEndedError` if a process exits on its own."""
        plan_file = self._folder / "plan.json"
        save(self._plan, plan_file)
        self._loop.listen(self._plan.coordinator, self._accept)
        self._loop.on_delay(LOOP_LATE_THRESHOLD_S, SAMPLE_INTERVAL_S, self._on_delay)
        try:
            self._start_child(plan_file, ENVIRONMENT, 0)
            for number in range(self._plan.worker_processes):
                self._start_child(plan_file, WORKERS, number)
            self._start_child(plan_file, USERS, 0)
            self._start_controllers()
            self.every(SAMPLE_INTERVAL_S, self._sample)
            self._loop.run()
        finally:
            self.processes.kill_all()
            self._loop.close()
        if self._failure is not None:
            raise self._failure
        return self.recording

    def _start_child(self, plan_file: Path, role: str, number: int) -> None:
        name = f"{role}-{number}"
        arguments = ["-m", "flaxtally.emulator.child_process", str(plan_file), role, str(number)]
        self.processes.start(name, arguments, self._folder / f"{name}.log")

    def _start_controllers(self) -> None:
        options = []
        if self._plan.policy is not None:
            options += ["--policy", self._plan.policy]
        if self._plan.cells > 1:
            # Written before any controller starts: all of them read it.
            cells = self._folder / "cells.toml"
            cells.write_text(render_deploy_file(self._plan), encoding="utf-8")
            options += ["--cells", str(cells)]
        for number, name in enumerate(self._plan.nodes):
            self._start_controller(number, name, options)

    def _start_controller(self, number: int, name: str, options: list[str]) -> None:
        settings = self._folder / f"{name}.toml"
        settings.write_text(render_settings(self._plan, number), encoding="utf-8")
        arguments = ["-m", "flaxtally", "serve", "--config", str(settings), *options]
        self.processes.start(name, arguments, self._folder / f"{name}.log")

    def _fail(self, failure: Exception) -> None:
        self._failure = self._failure or failure
        self._loop.stop()

    def _on_delay(self, delay: LoopDelay) -> None:
        self.recording.max_timer_delay_s = max(
            self.recording.max_timer_delay_s, delay.max_lateness_s
        )

    # Child processes

    def _accept(self, stream: Stream) -> None:
        self._channels.append(Channel(stream, self._receive, self._on_closed))

    def _on_closed(self, channel: Channel) -> None:
        self._channels.remove(channel)
        self._fail(
            ProcessEndedError(
                f"{channel.name} closed its connection: see its log in {self._folder}"
            )
        )

    def _send(self, message: Message, role: str) -> None:
        for channel in self._channels:
            if channel.role == role:
                channel.send(message)

    def _receive(self, channel: Channel, message: Any) -> None:
        recording, now = self.recording, self.runtime.now()
        if isinstance(message, Events):
            recording.history.add(message.events)
        elif isinstance(message, Samples):
            recording.samples.setdefault(message.name, []).append((now, message.values))
        elif isinstance(message, Counters):
            recording.counters.setdefault(channel.name, []).append(message)
        elif isinstance(message, LoopLate):
            recording.max_timer_delay_s = max(recording.max_timer_delay_s, message.late)
        elif isinstance(message, MachineStarted):
            recording.history.add_machine(message.machine)
            child_name = f"{WORKERS}-{self._plan.get_worker_process(message.machine.machine)}"
            for other in self._channels:
                if other.name == child_name:
                    other.send(message)
        elif isinstance(message, RemoveMachines):
            self._send(message, WORKERS)
        elif isinstance(message, MachinesRemoved):
            self._send(message, ENVIRONMENT)
        elif isinstance(message, Hello):
            channel.role, channel.number = message.role, message.number

    # Phases

    def _sample(self) -> None:
        now = self.runtime.now()
        self.processes.sample(now)
        try:
            self.processes.check()
        except ProcessEndedError as failure:
            self._fail(failure)
            return
        if not self._has_begun:
            self._begin_when_connected(now)
        elif not self.recording.phases:
            self._start_phases_when_warm(now)

    def _begin_when_connected(self, now: float) -> None:
        roles = [channel.role for channel in self._channels]
        if (
            roles.count(WORKERS) == self._plan.worker_processes
            and ENVIRONMENT in roles
            and USERS in roles
        ):
            self._has_begun, self._started_at = True, now
            self._send(StartLoad(), USERS)
            self._progress(f"{self._plan.workers} workers: the load begins")
        elif now - self._started_at > CONNECT_TIMEOUT_S:
            self._fail(
                ProcessEndedError(
                    f"not all child processes connected within {CONNECT_TIMEOUT_S:g} s"
                )
            )

    def count_running_tasks(self) -> float:
        """Returns how many tasks run, by the last counters of the workers' processes."""
        last = [
            counters[-1].totals["running"]
            for name, counters in self.recording.counters.items()
            if name.startswith(WORKERS)
        ]
        return sum(last)

    def _start_phases_when_warm(self, now: float) -> None:
        elapsed_s, ready_count = (
            now - self._started_at,
            READY_FRACTION * self._load.service_replica_count,
        )
        running = self.count_running_tasks()
        if running < ready_count and elapsed_s < self._plan.warm_up:
            return
        if running >= ready_count:
            self.recording.warm_up_s = elapsed_s
        self._progress(
            f"{self._plan.workers} workers: held after {elapsed_s:.0f} s, {running:.0f} tasks run"
        )
        steady = Phase(STEADY, now, now + self._plan.seconds)
        disconnect_s = DISCONNECT_DURATION_LEASES * self._plan.lease_s
        disturbed_s = max(
            self._plan.seconds,
            (disconnect_s + MIN_RECOVERY_LEASES * self._plan.lease_s)
            / (1 - ZONE_DISCONNECT_FRACTION),
        )
        disturbed = Phase(DISTURBED, steady.ends_at, steady.ends_at + disturbed_s)
        self.recording.phases += [steady, disturbed]
        self.recording.leaders[steady.name] = find_leaders(self._plan, self._folder)
        self.later(steady.ends_at - now, self._schedule_faults, disturbed)
        self.recording.history.until = disturbed.ends_at
        self.later(disturbed.ends_at + DRAIN_S - now, self._loop.stop)

    def _schedule_faults(self, phase: Phase) -> None:
        length_s = phase.ends_at - phase.begins_at
        self.later(LEADER_KILL_FRACTION * length_s, self._kill_leader)
        self.later(WORKER_RESTART_FRACTION * length_s, self._restart_workers)
        self.later(ZONE_DISCONNECT_FRACTION * length_s, self._disconnect_zone)

    def _kill_leader(self) -> None:
        killed_term = find_newest_cell_term(self._plan, self._folder, FAULTED_CELL)
        name = killed_term.leader
        if not name:
            self._progress("no controller leads: none is ended")
            return
        self._progress(f"{name} leads and is ended")
        controller = self.processes[name]
        controller.kill()
        self.recording.leader_killed_at = self.runtime.now()
        self.later(RESTART_DELAY_S, controller.start)
        self._wait_for_takeover(killed_term)

    def _wait_for_takeover(self, killed_term: Term) -> None:
        newest_found = find_newest_cell_term(self._plan, self._folder, FAULTED_CELL)
        if newest_found.number > killed_term.number:
            self.recording.taken_over_at = self.runtime.now()
            self.recording.leaders[DISTURBED] = find_leaders(self._plan, self._folder)
        else:
            self.later(TAKEOVER_POLL_INTERVAL_S, self._wait_for_takeover, killed_term)

    def _restart_workers(self) -> None:
        self._progress(f"{RESTARTED_FRACTION:.0%} of the workers restart")
        self._send(RestartWorkers(RESTARTED_FRACTION), WORKERS)

    def _disconnect_zone(self) -> None:
        zone, seconds = self._plan.zone_names[-1], DISCONNECT_DURATION_LEASES * self._plan.lease_s
        self._progress(f"{zone} is silent for {seconds:g} s")
        self._send(DisconnectZone(zone, seconds), WORKERS)


def find_leaders(plan: Plan, folder: Path) -> list[str]:
    """Returns the leaders, one per cell; a cell without a leader is left out."""
    leaders = [find_newest_cell_term(plan, folder, cell).leader for cell in range(plan.cells)]
    return [name for name in leaders if name]


def find_newest_cell_term(plan: Plan, folder: Path, cell: int) -> Term:
    """Returns the newest term of a cell."""
    return find_newest_term(folder, plan.nodes_of(cell))


def find_newest_term(folder: Path, names: Iterable[str]) -> Term:
    """Returns the newest term that the logs of these controllers announce."""
    newest = Term(0, "")
    for name in names:
        log_file = folder / f"{name}.log"
        if log_file.exists():
            text = log_file.read_text(encoding="utf-8", errors="replace")
            newest = max(
                [newest, *(Term(int(term), name) for term in LEADER_ELECTED_PATTERN.findall(text))]
            )
    return newest
