"""A worker of the protocol without a machine under it: thousands of them fit into a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fakes.worker import Worker
from ..protocol import wire
from .load import Load, number_of
from .measured import CountingLoop, MeasuredClient

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..fakes.held_task import HeldTask
    from ..runtime.loop import Address
    from .plan import Plan

REPORT_GAP_S = 0.5
"""PROTOCOL: what changes is reported at once, but not more often than this."""
FETCH_VARIATION = 0.33
"""PROTOCOL: an image fetch takes its usual time give or take a third."""


class HollowWorker(Worker):
    """Reports changes at once, draws its fetch times, restarts, and falls silent when told to."""

    def __init__(
        self,
        loop: CountingLoop,
        plan: Plan,
        load: Load,
        machine: wire.Listed,
        address: Address,
        watch: Callable[[str, str, str, int], None],
        took: Callable[[float], None],
        rng: random.Random,
    ) -> None:
        self._reported_at = float("-inf")
        self._change_waits = False
        self._fetched_at: dict[str, float] = {}
        kind = next(entry for entry in plan.types if entry.name == machine.machine_type)
        super().__init__(
            loop,
            machine,
            kind,
            address,
            plan.node_addresses,
            plan.report_s,
            plan.lease_s,
            lambda ref: load.job(number_of(ref)).spec,
            lambda ref: load.job(number_of(ref)).run_s,
            watch,
            rng,
        )
        for name, where in plan.node_addresses.items():
            self._clients[name] = MeasuredClient(loop, where, took)

    @property
    def running(self) -> int:
        """Tasks that run."""
        return sum(held.state == wire.RUNNING for held in self.tasks.values())

    def restart(self) -> None:
        """The worker's process ends and begins again: its tasks are gone, its session is new."""
        self._expire_lease()
        self.report_soon()

    def silence(self, seconds: float) -> None:
        """Nothing that it sends arrives, nothing sent to it reaches it, for so long."""
        self.mute = self.deaf = True
        self._runtime.after(seconds, self._hear_again)

    def _hear_again(self) -> None:
        self.mute = self.deaf = False

    def report_soon(self) -> None:
        if self._busy:
            self._change_waits = True
            return
        self._schedule_heartbeat(self._earliest())

    def _earliest(self) -> float:
        """Seconds until a change may be reported."""
        return max(0.0, REPORT_GAP_S - (self._runtime.now() - self._reported_at))

    def _schedule_heartbeat(self, delay: float) -> None:
        if self._change_waits and not self._busy:
            self._change_waits = False
            delay = min(delay, self._earliest())
        super()._schedule_heartbeat(delay)

    def _send_heartbeat(self) -> None:
        self._reported_at = self._runtime.now()
        super()._send_heartbeat()

    def _launch(self, order: wire.Command) -> None:
        super()._launch(order)
        held = self.tasks[order.task, order.attempt]
        if held.timer is not None and held.state == wire.FETCHING:
            # The stand-in's fetch takes its usual time; here it takes the drawn one.
            held.timer.cancel()
            held.timer = self._runtime.after(self._fetch_s(order.task), self._run, held)

    def run_at_once(self, held: HeldTask) -> None:
        """Starts a task that nobody ordered, for runs that plant a fault."""
        self._run(held)

    def _fetch_s(self, task: str) -> float:
        """Seconds until the task's image is there; 0 if it is there already."""
        spec = self._spec(task.partition("/")[0])
        if spec is None:
            return 0.0
        now = self._runtime.now()
        if spec.image not in self._fetched_at:
            usual = spec.image_gb / self._machine_type.fetch_gb_per_s
            drawn = usual * self._rng.uniform(1 - FETCH_VARIATION, 1 + FETCH_VARIATION)
            self._fetched_at[spec.image] = now + drawn
        return max(0.0, self._fetched_at[spec.image] - now)
