"""A stand-in for the cloud: capacity by pool, boot times, a list, an outage."""

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

MOST_LISTED = 500
"""PROTOCOL: machines a page of the list."""
OLDEST_S = 1e6
"""The age of machines that were there before the stand-in began."""


def equal_pools(
    types: Iterable[wire.MachineType], zones: Iterable[str], machines: int
) -> dict[tuple[str, str, bool], int]:
    """As many machines in each pool: by type and zone, spot and not."""
    return {
        (kind.name, zone, spot): machines
        for kind in types
        for zone in zones
        for spot in (False, True)
    }


class Cloud:
    """`start(machine)` is called when a machine is up and `end(machine)` when it is gone."""

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        types: list[wire.MachineType],
        capacity: dict[tuple[str, str, bool], int],
        place: Callable[[int], str],
        start: Callable[[wire.Listed], None],
        end: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._runtime, self._types, self._capacity, self._rng = runtime, types, capacity, rng
        self._place, self._start, self._end = place, start, end
        self.machines: dict[str, wire.Listed] = {}
        self._asked_at: dict[str, float] = {}
        self._answers: dict[str, list[str]] = {}
        self.down = False
        self.limit: TokenBucket | None = None
        """PROTOCOL: above it requests are answered 429; None: unlimited."""
        self.throttled_count = 0
        """Requests that were answered 429."""
        self.boots_fail = False
        self.boot: float | None = None
        """Seconds that every machine rented from now on takes to boot; None: about its type's boot
        time.
        """
        self.list_lag_s = 0.0
        """The list is that much old, at times twice."""
        self._up_at: dict[str, float] = {}
        self._gone: dict[str, tuple[float, wire.Listed]] = {}
        self.change_requests: list[tuple[str, str]] = []
        """Host and path of each request that changes something, in order."""
        self.provision_requests: list[str] = []
        """The rental requests that came, in order, repeats too."""
        self._count = 0
        Server(runtime, address, self._handle, 1000, 600.0, 1.0)

    def _handle(self, request: Request) -> None:
        path = request.path.partition("?")[0]
        if request.method == "POST":
            self.change_requests.append((request.far, path))
        if path == wire.RENTALS and request.method == "POST":
            self.provision_requests.append(
                msgspec.msgpack.decode(request.body, type=wire.ProvisionRequest).request
            )
        if self.down:
            request.reply(503, {"error": "trouble"})
        elif self.limit is not None and not self.limit.try_take(1):
            self.throttled_count += 1
            request.reply(429, {"error": "too many"})
        elif path == wire.CATALOG:
            request.reply(200, wire.MachineTypeList(self._types))
        elif path == wire.RELEASE:
            self._terminate(
                request, msgspec.msgpack.decode(request.body, type=wire.TerminateRequest).machines
            )
        elif request.method == "POST":
            self._rent(request, msgspec.msgpack.decode(request.body, type=wire.ProvisionRequest))
        else:
            self._list_page(request)

    def _terminate(self, request: Request, names: list[str]) -> None:
        for name in names:
            self.remove_machine(name)
        request.reply(200, {})

    def _list_page(self, request: Request) -> None:
        query = parse_qs(request.path.partition("?")[2])
        after, most = query.get("after", [""])[0], int(query.get("most", [str(MOST_LISTED)])[0])
        machines = [machine for machine in self._list() if machine.machine > after]
        request.reply(200, wire.MachineList(machines[:most], len(machines) > most))

    def _list(self) -> list[wire.Listed]:
        """The machines as they were a while ago, in the order of their names."""
        then = self._runtime.now() - (
            self.list_lag_s * self._rng.uniform(1, 2) if self.list_lag_s else 0.0
        )
        known = dict(self.machines)
        known.update({name: machine for name, (at, machine) in self._gone.items() if at > then})
        listed = []
        for name, machine in sorted(known.items()):
            if self._asked_at[name] <= then:
                up = self._up_at.get(name, float("inf")) <= then
                state = machine.state if up or machine.state == wire.FAILED else wire.BOOTING
                age = min(then - self._asked_at[name], OLDEST_S)
                listed.append(msgspec.structs.replace(machine, age_s=age, state=state))
        return listed

    def _rent(self, request: Request, rental: wire.ProvisionRequest) -> None:
        if rental.request not in self._answers:
            pool = (rental.machine_type, rental.zone, rental.spot)
            used = sum((m.machine_type, m.zone, m.spot) == pool for m in self.machines.values())
            count = min(rental.count, self._capacity.get(pool, 0) - used)
            if count <= 0:
                request.reply(503, {"error": "no capacity"})
                return
            self._answers[rental.request] = [self.add(*pool) for _ in range(count)]
        request.reply(200, wire.ProvisionReply(self._answers[rental.request]))

    def add_running(self, machine: wire.Listed) -> None:
        """A machine that is up already, with its worker, and was rented long ago."""
        self._count += 1
        self.machines[machine.machine] = machine
        self._asked_at[machine.machine] = self._up_at[machine.machine] = float("-inf")

    def add(self, kind: str, zone: str, spot: bool, boot: float | None = None) -> str:
        """A machine that boots from now on."""
        name = f"n-{self._count:06d}"
        machine = wire.Listed(name, kind, zone, spot, wire.BOOTING, 0.0, self._place(self._count))
        self._count += 1
        self.machines[name] = machine
        self._asked_at[name] = self._runtime.now()
        if not self.boots_fail:
            nominal = next(entry.boot_s for entry in self._types if entry.name == kind)
            boot = self.boot if boot is None else boot
            self._runtime.after(
                nominal * self._rng.uniform(0.6, 1.5) if boot is None else boot, self._up, name
            )
        return name

    def _up(self, name: str) -> None:
        machine = self.machines.get(name)
        if machine is not None:
            machine.state = "running"
            self._up_at[name] = self._runtime.now()
            self._start(machine)

    def remove_machine(self, name: str) -> None:
        """The machine and everything on it are gone."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self._gone[name] = self._runtime.now(), machine
            self._end(name)
