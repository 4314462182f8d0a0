"""The part that plays a share of the fleet's workers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ..fakes.held_task import HeldTask
from ..protocol import wire
from ..settings import address
from .hollow_worker import HollowWorker
from .load import Load
from .messages import (
    ENDED,
    STARTED,
    Event,
    MachinesTaken,
    MachineUp,
    Message,
    RestartWorkers,
    SilenceZone,
    TakeMachines,
)

if TYPE_CHECKING:
    from .link import Link
    from .measured import CountingLoop
    from .plan import Plan

REPORT_ANSWER = "report_answer"
STARTS_BEFORE_FAULT = 10
"""The planted fault waits until so many tasks were started here."""


class Workers:
    """Owns this process's hollow workers."""

    def __init__(self, loop: CountingLoop, plan: Plan, number: int, link: Link) -> None:
        self._loop, self._plan, self._link = loop, plan, link
        self._load = Load(plan)
        self._rng = random.Random(f"{plan.seed}/workers/{number}")
        self._workers: dict[str, HollowWorker] = {}
        self._starts = 0
        self._reports = 0
        self._fault_due = plan.break_rule and number == 0
        for machine in plan.machines:
            if plan.process_of(machine.machine) == number:
                self._add(machine)

    def _add(self, machine: wire.Listed) -> None:
        where = address(str(machine.address))
        assert where is not None, machine.address
        worker = HollowWorker(
            self._loop,
            self._plan,
            self._load,
            machine,
            where,
            self._watch,
            self._took,
            random.Random(self._rng.random()),
        )
        self._workers[machine.machine] = worker

    def _took(self, seconds: float) -> None:
        self._reports += 1
        self._link.sample(REPORT_ANSWER, seconds)

    def _watch(self, event: str, machine: str, task: str, attempt: int) -> None:
        at = self._loop.now()
        if event == "start":
            self._link.event(Event(at, STARTED, task, machine, attempt))
            self._starts += 1
            if self._fault_due and self._starts > STARTS_BEFORE_FAULT:
                self._fault_due = False
                self._loop.soon(self._start_twice, machine, task, attempt)
        else:
            why = event.removeprefix("end ")
            self._link.event(Event(at, ENDED, task, machine, attempt, stage=why))

    def _start_twice(self, machine: str, task: str, attempt: int) -> None:
        """The planted fault: another worker starts the task of its own accord."""
        other = next(worker for name, worker in self._workers.items() if name != machine)
        copy = other.tasks[task, attempt] = HeldTask(task, attempt, wire.FETCHING)
        other.run_at_once(copy)

    def receive(self, message: Message) -> None:
        if isinstance(message, MachineUp):
            self._add(message.machine)
        elif isinstance(message, TakeMachines):
            for name in message.machines:
                worker = self._workers.pop(name, None)
                if worker is not None:
                    worker.shut_down()
            self._link.send(MachinesTaken(message.request))
        elif isinstance(message, RestartWorkers):
            names = sorted(self._workers)
            for name in self._rng.sample(names, round(message.share * len(names))):
                self._workers[name].restart()
        elif isinstance(message, SilenceZone):
            for worker in self._workers.values():
                if worker.machine.zone == message.zone:
                    worker.silence(message.seconds)

    def totals(self) -> dict[str, float]:
        traffic = self._loop.traffic
        workers = self._workers.values()
        return {
            "workers": len(self._workers),
            "running": sum(worker.running for worker in workers),
            "reports": self._reports,
            "starts": self._starts,
            "lapses": sum(worker.session - 1 for worker in workers),
            "bytes_sent": traffic.sent,
            "bytes_received": traffic.received,
            "connections": traffic.connections,
        }
