"""A fake worker without a machine behind it, so that a process can run thousands of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fakes.worker import MIN_REPORT_INTERVAL_S, Worker
from ..protocol import wire
from .load import Load, parse_job_number
from .measured import CountingLoop, MeasuredClient

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..fakes.worker_task import WorkerTask
    from ..runtime.loop import Address
    from .plan import Plan

FETCH_VARIATION_FRACTION = 0.33
"""PROTOCOL: the time of an image fetch varies by up to a third in both directions."""
MIN_COPY_DELAY_S, MAX_COPY_DELAY_LEASES = 0.1, 2
"""When a copy of a command batch arrives: from so many seconds to so many leases late."""


class HollowWorker(Worker):
    """Reports changes at once, draws random fetch times, and can be restarted or cut off."""

    def __init__(
        self,
        loop: CountingLoop,
        plan: Plan,
        load: Load,
        machine: wire.ListedMachine,
        address: Address,
        on_task_event: Callable[[str, str, str, int], None],
        on_report_answered: Callable[[float], None],
        rng: random.Random,
    ) -> None:
        self._reported_at = float("-inf")
        self._has_unreported_change = False
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
            lambda ref: load.job(parse_job_number(ref)).spec,
            lambda ref: load.job(parse_job_number(ref)).run_s,
            on_task_event,
            rng,
        )
        self._copy_share = plan.command_copy_share
        self._max_copy_delay_s = MAX_COPY_DELAY_LEASES * plan.lease_s
        self.on_batch_executed = self._copy_at_random
        for name, node_address in plan.node_addresses.items():
            self._clients[name] = MeasuredClient(loop, node_address, on_report_answered)

    @property
    def running_count(self) -> int:
        """The number of running tasks."""
        return sum(held.state == wire.RUNNING for held in self.tasks.values())

    def restart(self) -> None:
        """Simulates a restart of the worker's process: tasks are lost and a new session begins."""
        self._expire_lease()
        self.report_soon()

    def _copy_at_random(self, batch: wire.CommandBatch) -> None:
        """Lets a copy of some batches arrive once more, as late messages do."""
        if batch.commands and self._rng.random() < self._copy_share:
            delay_s = self._rng.uniform(MIN_COPY_DELAY_S, self._max_copy_delay_s)
            self._runtime.after(delay_s, self._receive_after_delay, batch)

    def disconnect(self, seconds: float) -> None:
        """Drops all messages to and from the worker for that time."""
        self.mute = self.deaf = True
        self._runtime.after(seconds, self._reconnect)

    def _reconnect(self) -> None:
        self.mute = self.deaf = False

    def report_soon(self) -> None:
        if self._busy:
            self._has_unreported_change = True
            return
        self._schedule_heartbeat(self._get_min_delay_s())

    def _get_min_delay_s(self) -> float:
        """Returns the seconds until the next report is allowed."""
        return max(0.0, MIN_REPORT_INTERVAL_S - (self._runtime.now() - self._reported_at))

    def _schedule_heartbeat(self, delay: float) -> None:
        if self._has_unreported_change and not self._busy:
            self._has_unreported_change = False
            delay = min(delay, self._get_min_delay_s())
        super()._schedule_heartbeat(delay)

    def _send_heartbeat(self) -> None:
        self._reported_at = self._runtime.now()
        super()._send_heartbeat()

    def _launch(self, command: wire.Command) -> None:
        super()._launch(command)
        held = self.tasks[command.task, command.attempt]
        if held.timer is not None and held.state == wire.FETCHING:
            # The base class fetches in the usual time; replace that by a random time.
            held.timer.cancel()
            held.timer = self._runtime.after(self._draw_fetch_s(command.task), self._run, held)

    def start_unassigned(self, held: WorkerTask) -> None:
        """Starts a task without a command, for runs that inject this fault."""
        self._run(held)

    def _draw_fetch_s(self, task: str) -> float:
        """Returns the seconds until the task's image is fetched; 0 if it already is."""
        spec = self._spec(task.partition("/")[0])
        if spec is None:
            return 0.0
        now = self._runtime.now()
        if spec.image not in self._fetched_at:
            usual_s = spec.image_gb / self._machine_type.fetch_gb_per_s
            drawn_s = usual_s * self._rng.uniform(
                1 - FETCH_VARIATION_FRACTION, 1 + FETCH_VARIATION_FRACTION
            )
            self._fetched_at[spec.image] = now + drawn_s
        return max(0.0, self._fetched_at[spec.image] - now)
