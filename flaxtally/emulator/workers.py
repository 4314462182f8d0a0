"""The child process that runs a part of the fleet as hollow workers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ..fakes.worker_task import WorkerTask
from ..protocol import wire
from ..settings import parse_address
from .hollow_worker import HollowWorker
from .load import Load
from .messages import (
    ENDED,
    STARTED,
    DisconnectZone,
    Event,
    MachinesRemoved,
    MachineStarted,
    Message,
    RemoveMachines,
    RestartWorkers,
)

if TYPE_CHECKING:
    from .link import CoordinatorLink
    from .measured import CountingLoop
    from .plan import Plan

REPORT_REPLY = "report_answer"
"""Name of the samples of the time from a heartbeat to its reply."""
STARTS_BEFORE_FAULT = 10
"""Tasks that this process must have started before the fault of `break_rule` is injected."""


class Workers:
    """Owns this process's hollow workers."""

    def __init__(self, loop: CountingLoop, plan: Plan, number: int, link: CoordinatorLink) -> None:
        self._loop, self._plan, self._link = loop, plan, link
        self._load = Load(plan)
        self._rng = random.Random(f"{plan.seed}/workers/{number}")
        self._workers: dict[str, HollowWorker] = {}
        self._start_count = 0
        self._report_count = 0
        self._should_break_rule = plan.break_rule and number == 0
        for machine in plan.machines:
            if plan.get_worker_process(machine.machine) == number:
                self._add_worker(machine)

    def _add_worker(self, machine: wire.ListedMachine) -> None:
        listen_address = parse_address(str(machine.address))
        assert listen_address is not None, machine.address
        worker = HollowWorker(
            self._loop,
            self._plan,
            self._load,
            machine,
            listen_address,
            self._on_task_event,
            self._on_report_answered,
            random.Random(self._rng.random()),
        )
        self._workers[machine.machine] = worker

    def _on_report_answered(self, seconds: float) -> None:
        self._report_count += 1
        self._link.add_sample(REPORT_REPLY, seconds)

    def _on_task_event(self, event: str, machine: str, task: str, attempt: int) -> None:
        at = self._loop.now()
        if event == "start":
            self._link.add_event(Event(at, STARTED, task, machine, attempt))
            self._start_count += 1
            if self._should_break_rule and self._start_count > STARTS_BEFORE_FAULT:
                self._should_break_rule = False
                self._loop.soon(self._start_twice, machine, task, attempt)
        else:
            cause = event.removeprefix("end ")
            self._link.add_event(Event(at, ENDED, task, machine, attempt, stage=cause))

    def _start_twice(self, machine: str, task: str, attempt: int) -> None:
        """Injects the fault of `break_rule`: another worker starts the task without a command."""
        other = next(worker for name, worker in self._workers.items() if name != machine)
        copy = other.tasks[task, attempt] = WorkerTask(task, attempt, wire.FETCHING)
        other.start_unassigned(copy)

    def receive(self, message: Message) -> None:
        if isinstance(message, MachineStarted):
            self._add_worker(message.machine)
        elif isinstance(message, RemoveMachines):
            for name in message.machines:
                worker = self._workers.pop(name, None)
                if worker is not None:
                    worker.shut_down()
            self._link.send(MachinesRemoved(message.request))
        elif isinstance(message, RestartWorkers):
            names = sorted(self._workers)
            for name in self._rng.sample(names, round(message.share * len(names))):
                self._workers[name].restart()
        elif isinstance(message, DisconnectZone):
            for worker in self._workers.values():
                if worker.machine.zone == message.zone:
                    worker.disconnect(message.seconds)

    def totals(self) -> dict[str, float]:
        traffic = self._loop.traffic
        workers = self._workers.values()
        return {
            "workers": len(self._workers),
            "running": sum(worker.running_count for worker in workers),
            "reports": self._report_count,
            "starts": self._start_count,
            "lapses": sum(worker.incarnation - 1 for worker in workers),
            "bytes_sent": traffic.sent,
            "bytes_received": traffic.received,
            "connections": traffic.connections,
        }
