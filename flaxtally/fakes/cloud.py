"""A fake cloud: capacity by pool, boot times, a machine list that lags, outages."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

import msgspec

from ..protocol import wire
from ..runtime.http import Request, Server

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from ..runtime.loop import Address, Runtime
    from ..runtime.token_bucket import TokenBucket

MAX_MACHINES_PER_PAGE = 500
"""Maximum number of machines on a page of the list, according to the protocol."""
MAX_AGE_S = 1e6
"""The age in seconds that is reported for older machines, and for those added as running."""


def build_equal_pools(
    types: Iterable[wire.MachineType], zones: Iterable[str], machines: int
) -> dict[tuple[str, str, bool], int]:
    """Returns the same capacity for each pool: by machine type, zone, and spot or not."""
    return {
        (kind.name, zone, spot): machines
        for kind in types
        for zone in zones
        for spot in (False, True)
    }


class Cloud:
    """A fake cloud, which handles requests at `address`.

    `capacity` is the maximum number of machines by pool: machine type, zone, and spot or not.
    `make_address` returns the address of the worker of the machine with that number.
    `on_start(machine)` is called when a machine has booted, `on_end(name)` when it is removed.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        types: list[wire.MachineType],
        capacity: dict[tuple[str, str, bool], int],
        make_address: Callable[[int], str],
        on_start: Callable[[wire.ListedMachine], None],
        on_end: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._runtime, self._types, self._capacity, self._rng = runtime, types, capacity, rng
        self._make_address, self._on_start, self._on_end = make_address, on_start, on_end
        self.machines: dict[str, wire.ListedMachine] = {}
        self._requested_at: dict[str, float] = {}
        self._granted: dict[str, list[str]] = {}
        """Names of the machines provisioned, by the idempotency key of the request."""
        self.is_down = False
        """Whether there is an outage: every request gets status 503."""
        self.request_limit: TokenBucket | None = None
        """Requests above this rate get status 429, as the protocol says; None: unlimited."""
        self.throttled_count = 0
        """Number of requests that got status 429."""
        self.boots_fail = False
        """Whether machines provisioned from now on never finish booting."""
        self.boot: float | None = None
        """Seconds that machines provisioned from now on take to boot; None: about their type's."""
        self.list_lag_s = 0.0
        """Minimum seconds by which a list is outdated; each one by between 1 and 2 times this."""
        self._running_since: dict[str, float] = {}
        self._removed: dict[str, tuple[float, wire.ListedMachine]] = {}
        self.change_requests: list[tuple[str, str]] = []
        """Host and path of each request to provision or terminate machines, in order."""
        self.provision_requests: list[str] = []
        """Idempotency keys of the provisioning requests received, in order, with repeats."""
        self._machine_count = 0
        Server(runtime, address, self._handle, 1000, 600.0, 1.0)

    def _handle(self, request: Request) -> None:
        path = request.path.partition("?")[0]
        if request.method == "POST":
            self.change_requests.append((request.remote_host, path))
        if path == wire.MACHINES and request.method == "POST":
            self.provision_requests.append(
                msgspec.msgpack.decode(request.body, type=wire.ProvisionRequest).request
            )
        if self.is_down:
            request.reply(503, {"error": "trouble"})
        elif self.request_limit is not None and not self.request_limit.try_take(1):
            self.throttled_count += 1
            request.reply(429, {"error": "too many"})
        elif path == wire.MACHINE_TYPES:
            request.reply(200, wire.MachineTypeList(self._types))
        elif path == wire.TERMINATE:
            self._terminate(
                request, msgspec.msgpack.decode(request.body, type=wire.TerminateRequest).machines
            )
        elif request.method == "POST":
            self._provision(
                request, msgspec.msgpack.decode(request.body, type=wire.ProvisionRequest)
            )
        else:
            self._list_page(request)

    def _terminate(self, request: Request, names: list[str]) -> None:
        for name in names:
            self.remove_machine(name)
        request.reply(200, {})

    def _list_page(self, request: Request) -> None:
        query = parse_qs(request.path.partition("?")[2])
        after, max_count = (
            query.get("after", [""])[0],
            int(query.get("most", [str(MAX_MACHINES_PER_PAGE)])[0]),
        )
        machines = [machine for machine in self._list_machines() if machine.machine > after]
        request.reply(200, wire.MachineList(machines[:max_count], len(machines) > max_count))

    def _list_machines(self) -> list[wire.ListedMachine]:
        """Returns the machines as they were `list_lag_s` ago or earlier, ordered by name."""
        listed_at = self._runtime.now() - (
            self.list_lag_s * self._rng.uniform(1, 2) if self.list_lag_s else 0.0
        )
        known = dict(self.machines)
        known.update(
            {name: machine for name, (at, machine) in self._removed.items() if at > listed_at}
        )
        listed = []
        for name, machine in sorted(known.items()):
            if self._requested_at[name] <= listed_at:
                is_running = self._running_since.get(name, float("inf")) <= listed_at
                state = (
                    machine.state if is_running or machine.state == wire.FAILED else wire.BOOTING
                )
                age_s = min(listed_at - self._requested_at[name], MAX_AGE_S)
                listed.append(msgspec.structs.replace(machine, age_s=age_s, state=state))
        return listed

    def _provision(self, request: Request, provision: wire.ProvisionRequest) -> None:
        if provision.request not in self._granted:
            pool = (provision.machine_type, provision.zone, provision.spot)
            used = sum((m.machine_type, m.zone, m.spot) == pool for m in self.machines.values())
            count = min(provision.count, self._capacity.get(pool, 0) - used)
            if count <= 0:
                request.reply(503, {"error": "no capacity"})
                return
            self._granted[provision.request] = [self.add(*pool) for _ in range(count)]
        request.reply(200, wire.ProvisionReply(self._granted[provision.request]))

    def add_running(self, machine: wire.ListedMachine) -> None:
        """Adds a machine that was provisioned long ago and already runs its worker."""
        self._machine_count += 1
        self.machines[machine.machine] = machine
        self._requested_at[machine.machine] = self._running_since[machine.machine] = float("-inf")

    def add(self, kind: str, zone: str, spot: bool, boot: float | None = None) -> str:
        """Adds a machine that starts to boot now; returns its name."""
        name = f"n-{self._machine_count:06d}"
        machine = wire.ListedMachine(
            name, kind, zone, spot, wire.BOOTING, 0.0, self._make_address(self._machine_count)
        )
        self._machine_count += 1
        self.machines[name] = machine
        self._requested_at[name] = self._runtime.now()
        if not self.boots_fail:
            usual_boot_s = next(entry.boot_s for entry in self._types if entry.name == kind)
            boot = self.boot if boot is None else boot
            self._runtime.after(
                usual_boot_s * self._rng.uniform(0.6, 1.5) if boot is None else boot,
                self._finish_boot,
                name,
            )
        return name

    def _finish_boot(self, name: str) -> None:
        machine = self.machines.get(name)
        if machine is not None:
            machine.state = "running"
            self._running_since[name] = self._runtime.now()
            self._on_start(machine)

    def remove_machine(self, name: str) -> None:
        """Removes the machine with everything on it."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self._removed[name] = self._runtime.now(), machine
            self._on_end(name)
