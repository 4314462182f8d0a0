"""A fake worker: heartbeats, lease, fencing token, incarnations, tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..protocol import wire
from ..runtime.http import Client, Reply, Request, Server
from .worker_task import WorkerTask

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..runtime.loop import Address, Runtime, Timer
    from .gang_rendezvous import GangRendezvous

MIN_REPORT_INTERVAL_S = 0.5
"""PROTOCOL: a change is reported at once, but reports are at least this many seconds apart."""
HUNG_CHECK_INTERVAL_S = 0.5
"""Seconds until a hung machine looks again whether it may continue."""
REPORT_TIMEOUT_S = 4.0
RETRY_NEXT_CONTROLLER_S = 1.0
"""PROTOCOL: seconds for which a worker waits for a reply, and until it tries the next controller.
"""
FAILURE_AFTER_S = 0.5
"""Seconds after its start at which a task fails, if its job fails on the machine."""


class Worker:
    """A worker and its machine.

    `run_time(ref)` returns the seconds that a job's tasks run (None: until stopped); `spec(ref)`
    returns the uploaded spec, or None for a job that was not uploaded.
    `on_event(event, machine, task, attempt)` is called when a task on the machine starts, with the
    event `start`, and when it ends, with `end` and the cause.
    """

    # What tests and runs set to inject faults

    preemption_notice_s: float | None = None
    """Seconds until the cloud takes the machine, as its heartbeats say; None: no notice."""
    hung: bool = False
    """Whether the machine does nothing; requests wait until it continues."""
    deaf: bool = False
    """Whether the worker receives nothing: replies and commands are lost, heartbeats arrive."""
    mute: bool = False
    """Whether its heartbeats are lost; commands reach it, and their replies arrive."""
    slowness: float = 1.0
    """Factor by which tasks take longer on this machine than their run time."""
    saves_checkpoints: bool = False
    """Whether tasks that are stopped with a grace period save before they exit."""

    def __init__(
        self,
        runtime: Runtime,
        machine: wire.ListedMachine,
        machine_type: wire.MachineType,
        address: Address,
        nodes: dict[str, Address],
        report_s: float,
        lease_s: float,
        spec: Callable[[str], wire.Spec | None],
        run_time: Callable[[str], float | None],
        on_event: Callable[[str, str, str, int], None],
        rng: random.Random,
        gangs: GangRendezvous | None = None,
    ) -> None:
        """`gangs`: the rendezvous of gangs' tasks; if None, they run like the tasks of arrays."""
        self._gangs = gangs
        self._runtime = runtime
        self.machine = machine
        self._machine_type = machine_type
        self._address = address
        self._nodes = nodes
        self._report_s = report_s
        self._lease_s = lease_s
        self._spec = spec
        self._run_time = run_time
        self._on_event = on_event
        self._rng = rng
        self.tasks: dict[tuple[str, int], WorkerTask] = {}
        self.incarnation = 1
        self._sequence_number = 0
        self.fencing_token = 0
        self._is_shut_down = False
        self.does_job_fail: Callable[[str], bool] = lambda _: False
        """Returns whether a job's tasks fail on this machine; called at the start of each."""
        self.get_command_delay_s: Callable[[wire.CommandBatch], float] = lambda _: 0.0
        """Returns how long a batch of commands is held up on its way to the worker.

        Such a batch gets no reply, and is executed once if its token and incarnation still match.
        """
        self.on_batch_executed: Callable[[wire.CommandBatch], None] = lambda _: None
        """Called with each batch of commands that was executed, before it is answered."""
        self.on_heartbeat_sent: Callable[[str, wire.Heartbeat], None] = lambda *_: None
        """Called with the receiving controller's name and the heartbeat, for each one sent."""
        self._lease_renewed_at = runtime.now()
        self._images: set[str] = set()
        self._controller = rng.choice(sorted(nodes))
        self._clients = {name: Client(runtime, where) for name, where in nodes.items()}
        self._busy = False
        self._heartbeat_timer: Timer | None = None
        self._server = Server(runtime, address, self._handle_request, 50, 600.0, 1.0)
        self._schedule_heartbeat(rng.uniform(0, report_s / 2))

    # Heartbeats

    def report(self) -> wire.Heartbeat:
        """Returns a new heartbeat with the next sequence number."""
        self._sequence_number += 1
        machine = self.machine
        return wire.Heartbeat(
            machine.machine,
            f"{self._address[0]}:{self._address[1]}",
            machine.machine_type,
            machine.zone,
            machine.spot,
            self.incarnation,
            self._sequence_number,
            self.fencing_token,
            [
                wire.TaskStatus(
                    worker_task.task,
                    worker_task.attempt,
                    worker_task.state,
                    worker_task.cause,
                    worker_task.kept,
                )
                for worker_task in self.tasks.values()
            ],
            self.preemption_notice_s,
        )

    def _schedule_heartbeat(self, delay: float) -> None:
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        if self._is_shut_down:
            return
        self._heartbeat_timer = self._runtime.after(delay, self._send_heartbeat)

    def report_soon(self) -> None:
        """Schedules the next heartbeat to report a change, unless a reply is awaited."""
        if not self._busy:
            self._schedule_heartbeat(min(MIN_REPORT_INTERVAL_S, self._report_s))

    def _send_heartbeat(self) -> None:
        if self.hung:
            self._schedule_heartbeat(self._report_s)
            return
        self._expire_lease_if_due()
        now, incarnation = self._runtime.now(), self.incarnation
        self._busy = True
        node = self._controller

        def on_reply(reply: Reply) -> None:
            self._busy = False
            if self.deaf:
                reply = Reply(0)
            delay = self._report_s * self._rng.uniform(0.75, 1.25)
            if reply.status == 200 and not self.hung:
                heartbeat_reply = msgspec.msgpack.decode(reply.body, type=wire.HeartbeatReply)
                if (
                    heartbeat_reply.fencing_token >= self.fencing_token
                    and incarnation == self.incarnation
                ):
                    if heartbeat_reply.fencing_token > self.fencing_token:
                        delay = MIN_REPORT_INTERVAL_S
                    self.fencing_token = heartbeat_reply.fencing_token
                    self._lease_renewed_at = now
                    self._execute(heartbeat_reply.commands)
            elif reply.status == 421:
                target = msgspec.msgpack.decode(reply.body, type=wire.Redirect).controller
                is_known = target in self._nodes and target != node
                self._controller = target if is_known and target else self._next_controller(node)
                delay = self._rng.uniform(0, 0.5) if is_known else RETRY_NEXT_CONTROLLER_S
            elif reply.status != 200:
                self._controller = self._next_controller(node)
                delay = RETRY_NEXT_CONTROLLER_S
            self._schedule_heartbeat(delay)

        if self.mute:
            self._runtime.after(RETRY_NEXT_CONTROLLER_S, on_reply, Reply(0))
            return
        report = self.report()
        self.on_heartbeat_sent(node, report)
        self._clients[node].request("POST", wire.HEARTBEAT, report, REPORT_TIMEOUT_S, on_reply)

    def _next_controller(self, node: str) -> str:
        names = sorted(self._nodes)
        return names[(names.index(node) + 1) % len(names)]

    def _expire_lease_if_due(self) -> None:
        if self._runtime.now() - self._lease_renewed_at > self._lease_s:
            self._expire_lease()

    def _expire_lease(self) -> None:
        """Ends all tasks and starts a new incarnation, as a worker does when its lease expires."""
        for worker_task in list(self.tasks.values()):
            self._end(worker_task, "lapsed")
        self.tasks.clear()
        self.incarnation += 1
        self._lease_renewed_at = self._runtime.now()

    def shut_down(self) -> None:
        """Ends the worker with all of its tasks, as when its machine is removed."""
        for worker_task in self.tasks.values():
            self._end(worker_task, "gone")
        self.tasks.clear()
        self._is_shut_down = True
        self._schedule_heartbeat(0.0)

    # Commands

    def _handle_request(self, request: Request) -> None:
        if self._is_shut_down or self.deaf:
            return
        if self.hung:
            # The request waits in the hung machine and is executed once the machine continues.
            self._runtime.after(HUNG_CHECK_INTERVAL_S, self._handle_request, request)
            return
        self._expire_lease_if_due()
        if request.path == wire.WORKER_STATUS:
            request.reply(200, self.report())
            return
        batch = msgspec.msgpack.decode(request.body, type=wire.CommandBatch)
        delay_s = self.get_command_delay_s(batch)
        if delay_s:
            self._runtime.after(delay_s, self._receive_after_delay, batch)
            return
        is_executed = self._execute_batch(batch)
        if is_executed:
            self.on_batch_executed(batch)
        request.reply(200 if is_executed else 409, self.report())

    def receive_late(self, batch: wire.CommandBatch) -> bool:
        """Handles a batch that was held up, or a copy of one; nobody waits for a reply.

        Returns whether the batch was executed. A hung machine does so once it continues.
        """
        if self._is_shut_down or self.deaf:
            return False
        if self.hung:
            self._runtime.after(HUNG_CHECK_INTERVAL_S, self._receive_after_delay, batch)
            return False
        self._expire_lease_if_due()
        return self._execute_batch(batch)

    def _receive_after_delay(self, batch: wire.CommandBatch) -> None:
        self.receive_late(batch)

    def _execute_batch(self, batch: wire.CommandBatch) -> bool:
        """Executes a batch, unless its token or its incarnation is outdated."""
        if batch.fencing_token < self.fencing_token or batch.incarnation != self.incarnation:
            return False
        is_token_raised = batch.fencing_token > self.fencing_token
        self.fencing_token = batch.fencing_token
        self._execute(batch.commands)
        if is_token_raised:
            self.report_soon()
        return True

    def _execute(self, commands: list[wire.Command]) -> None:
        for command in commands:
            worker_task = self.tasks.get((command.task, command.attempt))
            if command.verb == wire.LAUNCH and worker_task is None:
                self._launch(command)
            elif (
                command.verb == wire.STOP
                and worker_task is not None
                and worker_task.state != wire.EXITED
            ):
                is_gang = worker_task.state in (wire.WAITING, wire.RUNNING) and self._is_gang(
                    worker_task
                )
                if self._gangs is not None and is_gang:
                    self._gangs.stop(self, worker_task, command.grace_s or 0.0)
                elif not self._try_save(worker_task, command.grace_s or 0.0):
                    self.exit(worker_task, wire.CAUSE_HALTED)
            elif (
                command.verb == wire.FORGET
                and worker_task is not None
                and worker_task.state == wire.EXITED
            ):
                del self.tasks[command.task, command.attempt]

    def _is_gang(self, worker_task: WorkerTask) -> bool:
        spec = self._spec(worker_task.task.partition("/")[0])
        return spec is not None and spec.job_kind == wire.GANG

    def _try_save(self, worker_task: WorkerTask, grace_s: float) -> bool:
        """Has a task save a checkpoint, if it can; returns False if it must exit at once."""
        spec = self._spec(worker_task.task.partition("/")[0])
        if worker_task.state == wire.FLUSHING:
            return bool(grace_s)
        if not self.saves_checkpoints or spec is None or worker_task.state != wire.RUNNING:
            return False
        if not spec.checkpoint_interval_s or grace_s < spec.checkpoint_save_s:
            return False
        if worker_task.timer is not None:
            worker_task.timer.cancel()
        worker_task.timer = self._runtime.after(spec.checkpoint_save_s, self._on_saved, worker_task)
        self.set_state(worker_task, wire.FLUSHING)
        return True

    def _on_saved(self, worker_task: WorkerTask) -> None:
        worker_task.kept = True
        self.exit(worker_task, wire.CAUSE_HALTED)

    def _launch(self, command: wire.Command) -> None:
        worker_task = self.tasks[command.task, command.attempt] = WorkerTask(
            command.task, command.attempt, wire.FETCHING
        )
        spec = self._spec(command.task.partition("/")[0])
        unfinished = [
            other
            for other in self.tasks.values()
            if other.state != wire.EXITED and other is not worker_task
        ]
        specs = [
            found
            for other in unfinished
            if (found := self._spec(other.task.partition("/")[0])) is not None
        ]
        machine_type = self._machine_type
        if spec is None:
            worker_task.state, worker_task.cause = wire.EXITED, wire.CAUSE_UNKNOWN
        elif any(other.task == command.task for other in unfinished):
            worker_task.state, worker_task.cause = wire.EXITED, wire.CAUSE_IN_USE
        elif (
            sum(each.cores for each in specs) + spec.cores > machine_type.cores + 1e-6
            or sum(each.gpus for each in specs) + spec.gpus > machine_type.gpus + 1e-6
            or sum(each.memory_gb for each in specs) + spec.memory_gb
            > machine_type.memory_gb + 1e-6
        ):
            worker_task.state, worker_task.cause = wire.EXITED, wire.CAUSE_FULL
        else:
            delay = (
                0.0 if spec.image in self._images else spec.image_gb / machine_type.fetch_gb_per_s
            )
            self._images.add(spec.image)
            worker_task.timer = self._runtime.after(delay, self._run, worker_task)
        self.report_soon()

    def _run(self, worker_task: WorkerTask) -> None:
        if worker_task.state != wire.FETCHING:
            return
        ref = worker_task.task.partition("/")[0]
        spec = self._spec(ref)
        self._on_event("start", self.machine.machine, worker_task.task, worker_task.attempt)
        if self._gangs is not None and spec is not None and spec.job_kind == wire.GANG:
            self._gangs.arrive(self, worker_task, spec)
            if self.does_job_fail(ref):
                self._runtime.after(FAILURE_AFTER_S, self.exit, worker_task, wire.CAUSE_ERROR)
            return
        worker_task.state = wire.RUNNING
        run_time_s = self._run_time(ref)
        if self.does_job_fail(ref):
            worker_task.timer = self._runtime.after(
                FAILURE_AFTER_S, self.exit, worker_task, wire.CAUSE_ERROR
            )
        elif run_time_s is not None:
            worker_task.timer = self._runtime.after(
                run_time_s * self.slowness, self._complete, worker_task
            )
        self.report_soon()

    def _complete(self, worker_task: WorkerTask) -> None:
        if self.hung:
            # A hung machine makes no progress.
            worker_task.timer = self._runtime.after(
                HUNG_CHECK_INTERVAL_S, self._complete, worker_task
            )
        else:
            self.exit(worker_task, wire.CAUSE_DONE)

    def set_state(self, worker_task: WorkerTask, state: str) -> None:
        """Puts a gang's task into that state and reports it."""
        worker_task.state = state
        self.report_soon()

    def exit(self, worker_task: WorkerTask, cause: str) -> None:
        """Ends the task, unless it has exited already."""
        if worker_task.state == wire.EXITED:
            return
        self._end(worker_task, cause)
        worker_task.state, worker_task.cause = wire.EXITED, cause
        self.report_soon()

    def _end(self, worker_task: WorkerTask, cause: str) -> None:
        if worker_task.timer is not None:
            worker_task.timer.cancel()
        if worker_task.state in (wire.WAITING, wire.RUNNING, wire.FLUSHING):
            worker_task.state = wire.EXITED
            self._on_event(
                "end " + cause, self.machine.machine, worker_task.task, worker_task.attempt
            )
            if self._gangs is not None:
                self._gangs.leave(worker_task, cause)
