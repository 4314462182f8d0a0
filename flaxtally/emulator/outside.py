"""The part that plays the state service and the cloud, with the deployment's rates enforced."""

from __future__ import annotations

import random

from ..cloud import Bucket
from ..http import Request
from ..standin.cloud import Cloud
from ..standin.state import StateService
from .measured import CountingLoop
from .messages import MachinesTaken, MachineUp, Message, TakeMachines
from .part import Link
from .plan import Plan

STATE_BURST_S, CLOUD_BURST_S = 1.0, 2.0


def _bucket(loop: CountingLoop, rate: float, burst_s: float) -> Bucket:
    """PROTOCOL: bursts of so many seconds' worth are allowed."""
    return Bucket(loop, rate, rate * burst_s)


class RemoteCloud(Cloud):
    """A cloud whose machines run in other processes.

    A release is answered only when all of them say that the machines are gone: the answer is proof.
    """

    def __init__(self, loop: CountingLoop, plan: Plan, link: Link) -> None:
        self._link, self._processes = link, plan.worker_processes
        self._releases: dict[int, tuple[Request, int]] = {}
        self._release_count = 0
        super().__init__(
            loop,
            plan.cloud,
            plan.types,
            plan.capacity,
            lambda count: "{}:{}".format(*plan.worker_address(count)),
            lambda machine: link.send(MachineUp(machine)),
            lambda _: None,
            random.Random(f"{plan.seed}/cloud"),
        )
        for machine in plan.machines:
            self.add_running(machine)

    def _release(self, request: Request, names: list[str]) -> None:
        for name in names:
            self.take(name)
        self._release_count += 1
        self._releases[self._release_count] = request, self._processes
        self._link.send(TakeMachines(self._release_count, names))

    def taken(self, number: int) -> None:
        """One of the workers' processes has ended the machines of a release."""
        request, missing = self._releases.pop(number)
        if missing > 1:
            self._releases[number] = request, missing - 1
        else:
            request.reply(200, {})


class Outside:
    """Owns the two stand-ins."""

    def __init__(self, loop: CountingLoop, plan: Plan, link: Link) -> None:
        self._state = StateService(loop, plan.state, random.Random(f"{plan.seed}/state"))
        self._state.txn_ops, self._state.value_bytes = plan.txn_ops, int(plan.value_kb * 1024)
        self._state.request_limit = _bucket(loop, plan.state_rps, STATE_BURST_S)
        self._state.change_limit = _bucket(loop, plan.state_write_rps, STATE_BURST_S)
        self._cloud = RemoteCloud(loop, plan, link)
        self._cloud.limit = _bucket(loop, plan.cloud_rps, CLOUD_BURST_S)

    def receive(self, message: Message) -> None:
        if isinstance(message, MachinesTaken):
            self._cloud.taken(message.request)

    def totals(self) -> dict[str, float]:
        pages = [key for key in self._state.rows if key.startswith("p/")]
        return {
            "state_requests": self._state.requests,
            "state_changes": self._state.changes,
            "state_limited": self._state.limited,
            "state_beyond_limits": len(self._state.over_limit),
            "ledger_pages": len(pages),
            "machines": len(self._cloud.machines),
            "cloud_changes": len(self._cloud.callers),
            "cloud_limited": self._cloud.limited,
        }
