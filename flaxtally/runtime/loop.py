"""The selector loop: timers, streams, listeners.

Everything above this module sees time and sockets only through a `Loop` (or the tests' simulated
one, which has the same methods), so the same controllers run on a real clock and on an injected
one.
"""

from __future__ import annotations

import errno
import heapq
import itertools
import logging
import selectors
import socket
import time
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from .loop_delay import DelayMonitor, LoopDelay

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

Address = tuple[str, int]
READ = 65536
BACKLOG = 65535
"""Connections that wait to be accepted: as many as the kernel grants (somaxconn)."""
ACCEPTS = 64
FEW_TIMERS = 256
"""Cancelled timers are not looked for among so few."""


class Timer:
    """A call to come; `cancel` makes it never come.

    Once it is cancelled or due it lets go of what it was to call. Who waits for an answer holds
    the timer, and the timer's call holds who waits: kept, each pair was garbage that only the
    cyclic collector finds, and its passes held up a leader for a second in a storm of questions.
    """

    __slots__ = ("_args", "_fn", "live", "when")

    def __init__(self, when: float, fn: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.when, self.live = when, True
        self._fn, self._args = fn, args

    def cancel(self) -> None:
        self.take()

    def take(self) -> tuple[Callable[..., None], tuple[Any, ...]]:
        """The call, which is due now; the timer is over."""
        call = self._fn, self._args
        self.live = False
        self._fn, self._args = _nothing, ()
        return call


def _nothing(*_: Any) -> None:
    """The callback of a stream or a timer that nobody listens to any more."""


class Stream(Protocol):
    """A byte stream: bytes sent before it opens are kept; `on_close` comes once, whoever closed."""

    on_data: Callable[[bytes], None]
    on_close: Callable[[], None]
    far: str
    """The host at the other end."""

    def send(self, data: bytes) -> None: ...

    def close(self) -> None: ...


class Runtime(Protocol):
    """What actors may ask of the world: the time, a call later, a connection."""

    def now(self) -> float: ...

    def wall(self) -> float: ...

    def after(self, delay: float, fn: Callable[..., None], *args: Any) -> Timer: ...

    def soon(self, fn: Callable[..., None], *args: Any) -> None: ...

    def listen(self, address: Address, accept: Callable[[Stream], None]) -> None: ...

    def connect(self, address: Address) -> Stream: ...

    def on_pause(self, least: float, notify: Callable[[float], None]) -> None:
        """Calls `notify` with the seconds lost when the process stood still for over `least`.

        It comes before anything that arrived or fell due during the pause is handled.
        """

    def on_delay(self, least: float, period: float, notify: Callable[[LoopDelay], None]) -> None:
        """Calls `notify` when timers fire over `least` seconds late, at most once a `period`."""


class SocketStream:
    """A non-blocking TCP socket on the loop."""

    __slots__ = ("_events", "_loop", "_open", "_out", "_sock", "far", "on_close", "on_data")

    def __init__(self, loop: Loop, sock: socket.socket, far: str, connected: bool) -> None:
        self._loop, self._sock, self.far, self._open = loop, sock, far, connected
        self._out = bytearray()
        self.on_data: Callable[[bytes], None] = _nothing
        self.on_close: Callable[[], None] = _nothing
        self._events = selectors.EVENT_READ if connected else selectors.EVENT_WRITE
        loop.selector.register(sock, self._events, self._ready)

    def send(self, data: bytes) -> None:
        if self._events == 0:
            return
        if self._open and not self._out:
            try:
                sent = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self._loop.soon(self._finish)
                return
            data = data[sent:]
        if data:
            self._out += data
            self._watch(
                selectors.EVENT_READ | selectors.EVENT_WRITE
                if self._open
                else selectors.EVENT_WRITE
            )

    def close(self) -> None:
        """Closes at once; the owner asked for it, so `on_close` does not come."""
        self.on_close = self.on_data = _nothing
        self._finish()

    def _watch(self, events: int) -> None:
        if events != self._events:
            self._events = events
            self._loop.selector.modify(self._sock, events, self._ready)

    def _finish(self) -> None:
        if self._events == 0:
            return
        self._events = 0
        self._loop.selector.unregister(self._sock)
        self._sock.close()
        told, self.on_close, self.on_data = self.on_close, _nothing, _nothing
        told()

    def _ready(self, mask: int) -> None:
        if not self._open:
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._finish()
                return
            self._open = True
            self._flush()
            return
        if mask & selectors.EVENT_WRITE:
            self._flush()
        if mask & selectors.EVENT_READ and self._events:
            try:
                data = self._sock.recv(READ)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                data = b""
            if data:
                self.on_data(data)
            else:
                self._finish()

    def _flush(self) -> None:
        try:
            sent = self._sock.send(self._out) if self._out else 0
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self._finish()
            return
        del self._out[:sent]
        self._watch(
            selectors.EVENT_READ | selectors.EVENT_WRITE if self._out else selectors.EVENT_READ
        )


class Loop:
    """One thread, one selector. An exception in a callback is logged and ends nothing else."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._clear_timers_at = FEW_TIMERS
        self._order = itertools.count()
        self._soon: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self._running = False
        self._pause_watchers: list[tuple[float, Callable[[float], None]]] = []
        self._delay_monitor: DelayMonitor | None = None
        self._long_callbacks: tuple[float, Callable[[Callable[..., None], float], None]] | None
        self._long_callbacks = None
        self._last_seen = time.monotonic()
        self._callback_began = 0.0
        self.now = time.monotonic
        self.wall = time.time

    def after(self, delay: float, fn: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(self.now() + delay, fn, args)
        heapq.heappush(self._timers, (timer.when, next(self._order), timer))
        if len(self._timers) > self._clear_timers_at:
            self._clear_timers()
        return timer

    def _clear_timers(self) -> None:
        """Drops cancelled timers, once they may be half of all.

        Most timers are time limits that were kept; they would lie here until their time.
        """
        self._timers = [entry for entry in self._timers if entry[2].live]
        heapq.heapify(self._timers)
        self._clear_timers_at = max(FEW_TIMERS, 2 * len(self._timers))

    def soon(self, fn: Callable[..., None], *args: Any) -> None:
        self._soon.append((fn, args))

    def listen(self, address: Address, accept: Callable[[Stream], None]) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        sock.setblocking(False)

        def ready(_: int) -> None:
            # Many at a time: when all workers come back at once, one a turn lets the rest wait for
            # too long.
            for _ in range(ACCEPTS):
                try:
                    peer, (far, *_) = sock.accept()
                except OSError as fault:
                    if fault.errno in (errno.EMFILE, errno.ENFILE):
                        log.warning("no sockets left to accept with")
                    return
                accept(self._stream(peer, far, True))

        self.selector.register(sock, selectors.EVENT_READ, ready)

    def connect(self, address: Address) -> Stream:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex(address)
        return self._stream(sock, address[0], False)

    def _stream(self, sock: socket.socket, far: str, connected: bool) -> SocketStream:
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            log.debug("no TCP_NODELAY here")
        return SocketStream(self, sock, far, connected)

    def on_pause(self, least: float, notify: Callable[[float], None]) -> None:
        self._pause_watchers.append((least, notify))

    def on_delay(self, least: float, period: float, notify: Callable[[LoopDelay], None]) -> None:
        self._delay_monitor = DelayMonitor(least, period, notify)

    def on_long_callback(
        self, least: float, notify: Callable[[Callable[..., None], float], None]
    ) -> None:
        """Calls `notify` with each callback that took over `least` seconds, and its length."""
        self._long_callbacks = least, notify

    def _checkpoint(self, waited: float = 0.0) -> float:
        """The time now; reports a pause if more than `waited` passed since the last checkpoint.

        A process that is not scheduled (a frozen host, a long garbage collection, a callback that
        computes for seconds) would otherwise take its own silence for that of others.
        """
        now = self.now()
        lost, self._last_seen = now - self._last_seen - waited, now
        for least, notify in self._pause_watchers:
            if lost > least:
                self._call(notify, (lost,))
        return now

    def run(self) -> None:
        self._running = True
        self._last_seen = self.now()
        while self._running:
            self._turn()

    def stop(self) -> None:
        self._running = False

    def close(self) -> None:
        """Closes every socket, for those who go on after the loop. It can't be run again."""
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()

    def _turn(self) -> None:
        wait: float | None = None
        # Most timers are time limits that are kept: to wake for each of them cost more than most
        # messages.
        while self._timers and not self._timers[0][2].live:
            heapq.heappop(self._timers)
        now = self._checkpoint()
        if self._soon:
            wait = 0.0
        elif self._timers:
            wait = max(0.0, self._timers[0][0] - now)
        ready = self.selector.select(wait)
        self._callback_began = self._checkpoint(float("inf") if wait is None else wait)
        for key, mask in ready:
            self._call(key.data, (mask,))
        now = self._checkpoint()
        if self._delay_monitor is not None and self._timers and self._timers[0][0] <= now:
            self._delay_monitor.fired(now - self._timers[0][0], now)
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.live:
                self._call(*timer.take())
        for _ in range(len(self._soon)):
            fn, args = self._soon.popleft()
            self._call(fn, args)

    def _call(self, fn: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            fn(*args)
        except Exception:
            log.exception("a callback failed; the loop goes on")
        if self._delay_monitor is None and self._long_callbacks is None:
            return
        ended = self.now()
        took, self._callback_began = ended - self._callback_began, ended
        if self._delay_monitor is not None:
            self._delay_monitor.ran(fn, took)
        if self._long_callbacks is not None and took > self._long_callbacks[0]:
            self._tell_long_callback(fn, took)

    def _tell_long_callback(self, fn: Callable[..., None], took: float) -> None:
        assert self._long_callbacks is not None
        try:
            self._long_callbacks[1](fn, took)
        except Exception:
            log.exception("a watcher of callbacks failed; the loop goes on")
        # What the watcher takes is no callback's.
        self._callback_began = self.now()
