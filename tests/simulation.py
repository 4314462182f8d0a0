"""A simulated network and clock: hosts, streams with delays, cuts that hold packets back, crashes.

Deterministic for a seed. Each host is a `Runtime`; callbacks of a crashed host never run again.
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


def ignore(*_: Any) -> None:
    pass


class SimStream:
    """One end of a stream; `other` is the remote end, once connected."""

    def __init__(self, host: Host, far: str) -> None:
        """`far`: the IP address of the remote host."""
        self.host, self.far = host, far
        self.other: SimStream | None = None
        self.opened = self.is_closed = False
        self.pending: list[bytes] = []
        """Data sent before the connection was established."""
        self.arrives_at = 0.0
        """When the data sent last arrives; later data does not arrive before it."""
        self.on_data: Callable[[bytes], None] = ignore
        self.on_close: Callable[[], None] = ignore

    @property
    def has_unsent_bytes(self) -> bool:
        return not self.opened

    def send(self, data: bytes) -> None:
        if self.is_closed:
            return
        if not self.opened:
            self.pending.append(bytes(data))
        else:
            self.host.sim.transmit(self, bytes(data))

    def close(self) -> None:
        self.on_close = self.on_data = ignore
        if not self.is_closed:
            self.is_closed = True
            if self.opened:
                self.host.sim.transmit(self, None)

    def deliver(self, data: bytes) -> None:
        self.on_data(data)

    def on_remote_close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            on_close, self.on_close, self.on_data = self.on_close, ignore, ignore
            self.host.call(on_close)


class Host:
    """A host's `flaxtally.runtime.loop.Runtime`, for one incarnation of its process."""

    def __init__(self, sim: Simulation, ip: str) -> None:
        self.sim, self.ip, self.alive = sim, ip, True
        self.streams: list[SimStream] = []
        self.listening: dict[int, Callable[[Stream], None]] = {}
        self._pause_watchers: list[tuple[float, Callable[[float], None]]] = []
        self._frozen_at: float | None = None
        self._delayed_events: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        """Data and connections that arrived while the process was paused."""
        self._delayed_calls: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        """Timers and calls that became due while the process was paused."""
        self.call_duration_s = 0.0
        """Seconds that each callback takes: over 0 on a host with a slow processor."""
        self._busy_until = 0.0
        self.queue: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        """Callbacks waiting for the processor."""

    def now(self) -> float:
        return self.sim.time

    def wall(self) -> float:
        return 1_800_000_000 + self.sim.time

    def after(self, delay: float, callback: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(self.sim.time + max(0.0, delay), callback, args)
        self.sim.at(timer.when, self._call_timer, timer)
        return timer

    def _call_timer(self, timer: Timer) -> None:
        if timer.live and self._frozen_at is not None:
            self._delayed_calls.append((self._call_timer, (timer,)))
        elif timer.live:
            self.call(self._run_timer, timer)

    @staticmethod
    def _run_timer(timer: Timer) -> None:
        if timer.live:
            callback, args = timer.take()
            callback(*args)

    def soon(self, callback: Callable[..., None], *args: Any) -> None:
        self.sim.at(self.sim.time, self._call_soon, callback, *args)

    def _call_soon(self, callback: Callable[..., None], *args: Any) -> None:
        if self._frozen_at is not None:
            self._delayed_calls.append((callback, args))
        else:
            self.call(callback, *args)

    def call(self, callback: Callable[..., None], *args: Any) -> None:
        """Runs a callback that is due: of a timer, of data, of a new connection or of its end."""
        if self._frozen_at is not None:
            self._delayed_events.append((callback, args))
            return
        if not self.call_duration_s and not self.queue:
            if self.alive:
                callback(*args)
            return
        self.queue.append((callback, args))
        if len(self.queue) == 1:
            self.sim.at(max(self.sim.time, self._busy_until), self._run_queued_calls)

    def _run_queued_calls(self) -> None:
        """Runs the callbacks that waited for the processor, in order, when it is free."""
        while self.queue and self._busy_until <= self.sim.time:
            if self._frozen_at is not None:
                self._delayed_events += self.queue
                self.queue.clear()
                return
            callback, args = self.queue[0]
            self._busy_until = self.sim.time + self.call_duration_s
            if self.alive:
                callback(*args)
            self.queue.popleft()
        if self.queue:
            self.sim.at(self._busy_until, self._run_queued_calls)

    def on_pause(self, threshold_s: float, notify: Callable[[float], None]) -> None:
        self._pause_watchers.append((threshold_s, notify))

    def on_delay(
        self, threshold_s: float, period_s: float, notify: Callable[[LoopDelay], None]
    ) -> None:
        """Reports nothing: a simulated host's delay shows in `queue`."""

    @property
    def is_frozen(self) -> bool:
        """Whether the process is paused."""
        return self._frozen_at is not None

    def freeze(self, for_s: float) -> None:
        """Pauses the process while its clocks continue; its kernel still receives packets."""
        self._frozen_at = self.sim.time
        self.sim.at(self.sim.time + for_s, self._thaw)

    def _thaw(self) -> None:
        """Continues like `Loop`: reports the pause, handles what arrived, then what became due."""
        assert self._frozen_at is not None
        pause_s, self._frozen_at = self.sim.time - self._frozen_at, None
        for threshold_s, notify in self._pause_watchers:
            if pause_s > threshold_s:
                self.call(notify, pause_s)
        delayed = self._delayed_events + self._delayed_calls
        self._delayed_events, self._delayed_calls = [], []
        for callback, args in delayed:
            self.call(callback, *args)

    def listen(self, address: Address, accept: Callable[[Stream], None]) -> None:
        self.listening[address[1]] = accept

    def connect(self, address: Address) -> Stream:
        stream = SimStream(self, address[0])
        self.streams.append(stream)
        self.sim.dial(stream, address)
        return stream


class Simulation:
    """The clock, the scheduled events and the network."""

    def __init__(self, seed: int) -> None:
        self.time = 0.0
        self.rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self.hosts: dict[str, Host] = {}
        self.cuts: set[frozenset[str]] = set()
        self.refused_pairs: set[frozenset[str]] = set()
        """Pairs of hosts between which new connections are refused."""
        self.extra_delay_s: dict[frozenset[str], float] = {}
        """Additional delay in seconds of everything sent between a pair of hosts."""
        self._held_packets: dict[frozenset[str], list[tuple[SimStream, bytes | None]]] = {}
        self._held_in_one_direction: dict[
            tuple[str, str], list[tuple[SimStream, bytes | None]]
        ] = {}
        """Packets by sender and receiver, for each direction in which packets are held."""

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
        if frozenset((stream.host.ip, ip)) in self.cuts or self._is_direction_held(
            stream.host.ip, ip
        ):
            return  # an attempt during a cut hangs, and does not complete later
        self.at(self.time + self.delay(), self._on_dialled, stream, ip, port)

    def _on_dialled(self, stream: SimStream, ip: str, port: int) -> None:
        host = self.hosts.get(ip)
        if stream.is_closed:
            return
        if (
            host is None
            or not host.alive
            or port not in host.listening
            or frozenset((stream.host.ip, ip)) in self.refused_pairs
        ):
            stream.on_remote_close()
            return
        far = SimStream(host, stream.host.ip)
        far.opened = stream.opened = True
        far.other, stream.other = stream, far
        host.streams.append(far)
        host.call(host.listening[port], far)
        for data in stream.pending:
            self.transmit(stream, data)

    def transmit(self, stream: SimStream, data: bytes | None) -> None:
        """Sends bytes, or the end of the stream (None), to the remote end, in order."""
        host_pair = frozenset((stream.host.ip, stream.far))
        if host_pair in self.cuts:
            self._held_packets.setdefault(host_pair, []).append((stream, data))
            return
        direction = (stream.host.ip, stream.far)
        if direction in self._held_in_one_direction:
            self._held_in_one_direction[direction].append((stream, data))
            return
        stream.arrives_at = max(
            self.time + self.delay() + self.extra_delay_s.get(host_pair, 0.0), stream.arrives_at
        )
        self.at(stream.arrives_at, self._deliver, stream.other, data)

    @staticmethod
    def _deliver(far: SimStream | None, data: bytes | None) -> None:
        if far is None or far.is_closed:
            return
        if data is None:
            far.host.call(far.on_remote_close)
        else:
            far.host.call(far.deliver, data)

    def cut(self, one: str, other: str) -> None:
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Ends a cut: held packets are delivered in order, also those of closed streams."""
        host_pair = frozenset((one, other))
        self.cuts.discard(host_pair)
        for stream, data in self._held_packets.pop(host_pair, []):
            self.transmit(stream, data)

    def hold(self, sender: str, receiver: str) -> None:
        """Holds packets in one direction; packets of open connections pass in the other one."""
        self._held_in_one_direction.setdefault((sender, receiver), [])

    def release(self, sender: str, receiver: str) -> None:
        """Ends a hold: held packets are delivered in order, also those of closed streams."""
        for stream, data in self._held_in_one_direction.pop((sender, receiver), []):
            self.transmit(stream, data)

    def _is_direction_held(self, one: str, other: str) -> bool:
        """Whether packets are held in either direction: no connection can be opened then."""
        held = self._held_in_one_direction
        return (one, other) in held or (other, one) in held

    def refuse(self, one: str, other: str) -> None:
        """Resets the connections between two hosts and refuses new ones.

        This lasts until the pair is removed from `refused_pairs`.
        """
        self.refused_pairs.add(frozenset((one, other)))
        for ip, far in ((one, other), (other, one)):
            for stream in self.hosts[ip].streams:
                if stream.far == far and stream.opened and not stream.is_closed:
                    stream.on_remote_close()

    def crash(self, ip: str) -> None:
        host = self.hosts[ip]
        host.alive = False
        for stream in host.streams:
            if not stream.is_closed and stream.opened:
                stream.is_closed = True
                self.transmit(stream, None)
