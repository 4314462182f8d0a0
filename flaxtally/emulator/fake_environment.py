"""The child process that runs the fake state services and the fake cloud with their rate limits."""

from __future__ import annotations

import random
import re
from typing import TYPE_CHECKING

from ..fakes.cloud import Cloud
from ..fakes.key_value_store import FakeKeyValueStore
from ..runtime.token_bucket import TokenBucket
from .messages import MachinesRemoved, MachineStarted, Message, RemoveMachines

if TYPE_CHECKING:
    from ..runtime.http import Request
    from ..runtime.loop import Address
    from .link import CoordinatorLink
    from .measured import CountingLoop
    from .plan import Plan

PAGE_KEY_PATTERN = re.compile(r"(^|/)p/[0-9]+$")
"""Matches the keys of the ledger's pages in a state service."""
STATE_BURST_S, CLOUD_BURST_S = 1.0, 2.0
"""Sizes of the allowed bursts, in seconds of the allowed rate."""


def _create_bucket(loop: CountingLoop, rate: float, burst_s: float) -> TokenBucket:
    """Creates a token bucket; PROTOCOL allows bursts of `burst_s` seconds of the rate."""
    return TokenBucket(loop, rate, rate * burst_s)


class RemoteCloud(Cloud):
    """A fake cloud whose machines run in other processes.

    A request to terminate machines is answered only when all of these processes have confirmed that
    the machines are removed, because controllers take the reply as proof of it.
    """

    def __init__(self, loop: CountingLoop, plan: Plan, link: CoordinatorLink) -> None:
        self._link, self._processes = link, plan.worker_processes
        self._pending_terminations: dict[int, tuple[Request, int]] = {}
        """Requests to terminate machines, and how many processes have not confirmed them yet."""
        self._termination_count = 0
        super().__init__(
            loop,
            plan.cloud,
            plan.types,
            plan.capacity,
            lambda count: "{}:{}".format(*plan.worker_address(count)),
            lambda machine: link.send(MachineStarted(machine)),
            lambda _: None,
            random.Random(f"{plan.seed}/cloud"),
        )
        for machine in plan.machines:
            self.add_running(machine)

    def _terminate(self, request: Request, names: list[str]) -> None:
        for name in names:
            self.remove_machine(name)
        self._termination_count += 1
        self._pending_terminations[self._termination_count] = request, self._processes
        self._link.send(RemoveMachines(self._termination_count, names))

    def record_machines_removed(self, request_number: int) -> None:
        """Records that one of the workers' processes has terminated the machines of a request."""
        request, unconfirmed_count = self._pending_terminations.pop(request_number)
        if unconfirmed_count > 1:
            self._pending_terminations[request_number] = request, unconfirmed_count - 1
        else:
            request.reply(200, {})


class FakeEnvironment:
    """Owns the fake cloud, each cell's fake state service, and the one that all cells share."""

    def __init__(self, loop: CountingLoop, plan: Plan, link: CoordinatorLink) -> None:
        self._loop, self._plan = loop, plan
        self._states = [self._create_state_service(plan.state(cell)) for cell in range(plan.cells)]
        self._shared = self._create_state_service(plan.shared_state)
        self._cloud = RemoteCloud(loop, plan, link)
        self._cloud.request_limit = _create_bucket(loop, plan.cloud_rps, CLOUD_BURST_S)

    def _create_state_service(self, address: Address) -> FakeKeyValueStore:
        plan = self._plan
        service = FakeKeyValueStore(
            self._loop, address, random.Random(f"{plan.seed}/state/{address[1]}")
        )
        service.txn_ops, service.value_bytes = plan.txn_ops, int(plan.value_kb * 1024)
        service.request_limit = _create_bucket(self._loop, plan.state_rps, STATE_BURST_S)
        service.change_limit = _create_bucket(self._loop, plan.state_write_rps, STATE_BURST_S)
        return service

    def receive(self, message: Message) -> None:
        if isinstance(message, MachinesRemoved):
            self._cloud.record_machines_removed(message.request)

    def totals(self) -> dict[str, float]:
        states = self._states
        pages = [key for state in states for key in state.rows if PAGE_KEY_PATTERN.search(key)]
        return {
            "state_requests": sum(state.requests for state in states),
            "state_changes": sum(state.changes for state in states),
            "state_limited": sum(state.throttled_count for state in [*states, self._shared]),
            "state_beyond_limits": sum(len(state.oversized_transactions) for state in states),
            "shared_requests": self._shared.requests,
            "shared_changes": self._shared.changes,
            "ledger_pages": len(pages),
            "machines": len(self._cloud.machines),
            "cloud_changes": len(self._cloud.change_requests),
            "cloud_limited": self._cloud.throttled_count,
        }
