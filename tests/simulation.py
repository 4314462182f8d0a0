"""A simulated network and clock: hosts, streams with delays, cuts that hold packets back, crashes.

Deterministic by its seed. Each host gets a `Runtime`; what runs on a crashed host never runs again.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from typing import TYPE_CHECKING, Any

from flaxtally.runtime.loop import Address, Stream, Timer

if TYPE_CHECKING:
    from collections.abc import Callable

    from flaxtally.runtime.loop_delay import LoopDelay


def nothing(*_: Any) -> None:
    pass


class SimStream:
    """One end of a stream; `other` is the far end once it is there."""

    def __init__(self, host: Host, far: str) -> None:
        self.host, self.far = host, far
        self.other: SimStream | None = None
        self.opened = self.is_closed = False
        self.pending: list[bytes] = []
        self.arrives_at = 0.0
        self.on_data: Callable[[bytes], None] = nothing
        self.on_close: Callable[[], None] = nothing

    def send(self, data: bytes) -> None:
        if self.is_closed:
            return
        if not self.opened:
            self.pending.append(bytes(data))
        else:
            self.host.sim.transmit(self, bytes(data))

    def close(self) -> None:
        self.on_close = self.on_data = nothing
        if not self.is_closed:
            self.is_closed = True
            if self.opened:
                self.host.sim.transmit(self, None)

    def deliver(self, data: bytes) -> None:
        self.on_data(data)

    def ended(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            told, self.on_close, self.on_data = self.on_close, nothing, nothing
            self.host.call(told)


class Host:
    """A host's runtime (see `flaxtally.loop.Runtime`), for one life of its process."""

    def __init__(self, sim: Simulation, ip: str) -> None:
        self.sim, self.ip, self.alive = sim, ip, True
        self.streams: list[SimStream] = []
        self.listening: dict[int, Callable[[Stream], None]] = {}
        self._pause_watchers: list[tuple[float, Callable[[float], None]]] = []
        self._frozen_at: float | None = None
        self._held_events: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._held_calls: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.call_seconds = 0.0
        """What each call takes: more than nothing for a host whose processor is slow."""
        self._busy_until = 0.0
        self.queue: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        """Calls that wait for the processor."""

    def now(self) -> float:
        return self.sim.time

    def wall(self) -> float:
        return 1_800_000_000 + self.sim.time

    def after(self, delay: float, callback: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(self.sim.time + max(0.0, delay), callback, args)
        self.sim.at(timer.when, self._fire, timer)
        return timer

    def _fire(self, timer: Timer) -> None:
        if timer.live and self._frozen_at is not None:
            self._held_calls.append((self._fire, (timer,)))
        elif timer.live:
            self.call(self._expire, timer)

    @staticmethod
    def _expire(timer: Timer) -> None:
        if timer.live:
            callback, args = timer.take()
            callback(*args)

    def soon(self, callback: Callable[..., None], *args: Any) -> None:
        self.sim.at(self.sim.time, self._call_soon, callback, *args)

    def _call_soon(self, callback: Callable[..., None], *args: Any) -> None:
        if self._frozen_at is not None:
            self._held_calls.append((callback, args))
        else:
            self.call(callback, *args)

    def call(self, callback: Callable[..., None], *args: Any) -> None:
        """What comes from outside: data, connections, their ends."""
        if self._frozen_at is not None:
            self._held_events.append((callback, args))
            return
        if not self.call_seconds and not self.queue:
            if self.alive:
                callback(*args)
            return
        self.queue.append((callback, args))
        if len(self.queue) == 1:
            self.sim.at(max(self.sim.time, self._busy_until), self._work)

    def _work(self) -> None:
        """Makes the calls that waited for the processor, in order, as it has time for them."""
        while self.queue and self._busy_until <= self.sim.time:
            if self._frozen_at is not None:
                self._held_events += self.queue
                self.queue.clear()
                return
            callback, args = self.queue[0]
            self._busy_until = self.sim.time + self.call_seconds
            if self.alive:
                callback(*args)
            self.queue.popleft()
        if self.queue:
            self.sim.at(self._busy_until, self._work)

    def on_pause(self, threshold_s: float, notify: Callable[[float], None]) -> None:
        self._pause_watchers.append((threshold_s, notify))

    def on_delay(
        self, threshold_s: float, period_s: float, notify: Callable[[LoopDelay], None]
    ) -> None:
        """Delays are for the operators of a real loop: here `queue` tells."""

    def freeze(self, for_s: float) -> None:
        """The process stands still while its clocks run on; its kernel still takes packets."""
        self._frozen_at = self.sim.time
        self.sim.at(self.sim.time + for_s, self._thaw)

    def _thaw(self) -> None:
        """Goes on as `flaxtally.loop` does: the pause, then what arrived, then what fell due."""
        assert self._frozen_at is not None
        lost_s, self._frozen_at = self.sim.time - self._frozen_at, None
        for threshold_s, notify in self._pause_watchers:
            if lost_s > threshold_s:
                self.call(notify, lost_s)
        held = self._held_events + self._held_calls
        self._held_events, self._held_calls = [], []
        for callback, args in held:
            self.call(callback, *args)

    def listen(self, address: Address, accept: Callable[[Stream], None]) -> None:
        self.listening[address[1]] = accept

    def connect(self, address: Address) -> Stream:
        stream = SimStream(self, address[0])
        self.streams.append(stream)
        self.sim.dial(stream, address)
        return stream


class Simulation:
    """The clock, the events, the network."""

    def __init__(self, seed: int) -> None:
        self.time = 0.0
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self.hosts: dict[str, Host] = {}
        self.cuts: set[frozenset[str]] = set()
        self.refused_pairs: set[frozenset[str]] = set()
        """Pairs of hosts between which connections are refused, those that stand are reset."""
        self.extra_delay_s: dict[frozenset[str], float] = {}
        """Pairs of hosts between which everything takes that many seconds longer."""
        self._held: dict[frozenset[str], list[tuple[SimStream, bytes | None]]] = {}

    def host(self, ip: str) -> Host:
        self.hosts[ip] = Host(self, ip)
        return self.hosts[ip]

    def at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._events, (when, next(self._order), callback, args))

    def step(self) -> None:
        when, _, callback, args = heapq.heappop(self._events)
        self.time = max(self.time, when)
        callback(*args)

    def next_time(self) -> float:
        return self._events[0][0] if self._events else float("inf")

    def delay(self) -> float:
        return 0.001 * self.rng.uniform(0.8, 1.6)

    def dial(self, stream: SimStream, address: Address) -> None:
        ip, port = address
        if frozenset((stream.host.ip, ip)) in self.cuts:
            return  # an attempt under a cut hangs, and does not complete later
        self.at(self.time + self.delay(), self._dialled, stream, ip, port)

    def _dialled(self, stream: SimStream, ip: str, port: int) -> None:
        host = self.hosts.get(ip)
        if stream.is_closed:
            return
        if (
            host is None
            or not host.alive
            or port not in host.listening
            or frozenset((stream.host.ip, ip)) in self.refused_pairs
        ):
            stream.ended()
            return
        far = SimStream(host, stream.host.ip)
        far.opened = stream.opened = True
        far.other, stream.other = stream, far
        host.streams.append(far)
        host.call(host.listening[port], far)
        for data in stream.pending:
            self.transmit(stream, data)

    def transmit(self, stream: SimStream, data: bytes | None) -> None:
        """Bytes, or with None the end of the stream, to the far end, in order."""
        pair = frozenset((stream.host.ip, stream.far))
        if pair in self.cuts:
            self._held.setdefault(pair, []).append((stream, data))
            return
        stream.arrives_at = max(
            self.time + self.delay() + self.extra_delay_s.get(pair, 0.0), stream.arrives_at
        )
        self.at(stream.arrives_at, self._arrive, stream.other, data)

    @staticmethod
    def _arrive(far: SimStream | None, data: bytes | None) -> None:
        if far is None or far.is_closed:
            return
        if data is None:
            far.host.call(far.ended)
        else:
            far.host.call(far.deliver, data)

    def cut(self, one: str, other: str) -> None:
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Held packets are delivered now, in order, also of streams that were given up."""
        pair = frozenset((one, other))
        self.cuts.discard(pair)
        for stream, data in self._held.pop(pair, []):
            self.transmit(stream, data)

    def refuse(self, one: str, other: str) -> None:
        """Puts a packet filter between two hosts; `refused_pairs.discard` takes it away."""
        self.refused_pairs.add(frozenset((one, other)))
        for ip, far in ((one, other), (other, one)):
            for stream in self.hosts[ip].streams:
                if stream.far == far and stream.opened and not stream.is_closed:
                    stream.ended()

    def crash(self, ip: str) -> None:
        host = self.hosts[ip]
        host.alive = False
        for stream in host.streams:
            if not stream.is_closed and stream.opened:
                stream.is_closed = True
                self.transmit(stream, None)
