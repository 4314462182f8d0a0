"""The event loop, on a selector: timers, streams, listeners.

All other code uses time and sockets only through a `Runtime`: a `Loop`, or the tests' simulated
host, which has the same methods. So the same controllers run in real and in simulated time.
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
"""Host and port."""
READ_SIZE_BYTES = 65536
"""Largest number of bytes read from a socket at a time."""
LISTEN_BACKLOG = 65535
"""Maximum number of connections that wait to be accepted; the kernel lowers it to its limit
(somaxconn).
"""
MAX_ACCEPTS_PER_TURN = 64
"""Maximum number of connections accepted on one listener in a turn of the loop."""
MIN_TIMERS_TO_CLEAR = 256
"""Number of timers up to which cancelled ones stay in the heap until they are due."""


class Timer:
    """A scheduled call; `cancel` prevents it.

    `when` is the time at which it is due; `live` is False once it was made or cancelled. The timer
    then drops its references to the callback and the arguments. A request refers to its timer, and
    the timer's callback to the request: such cycles can be freed only by the cyclic garbage
    collector, whose passes blocked a leader for a second when many requests arrived.
    """

    __slots__ = ("_args", "_callback", "live", "when")

    def __init__(self, when: float, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.when, self.live = when, True
        self._callback, self._args = callback, args

    def cancel(self) -> None:
        """Prevents the call."""
        self.take()

    def take(self) -> tuple[Callable[..., None], tuple[Any, ...]]:
        """Returns the callback and its arguments, for a call that is due, and ends the timer."""
        call = self._callback, self._args
        self.live = False
        self._callback, self._args = _ignore, ()
        return call


def _ignore(*_: Any) -> None:
    """The callback of a closed stream or an ended timer."""


class Stream(Protocol):
    """A byte stream. Bytes sent before it opens are kept; `on_close` is called at most once."""

    on_data: Callable[[bytes], None]
    on_close: Callable[[], None]
    far: str
    """The host at the other end."""

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether it is not open yet, or keeps bytes that the network has not taken."""

    def send(self, data: bytes) -> None: ...

    def close(self) -> None: ...


class Runtime(Protocol):
    """The part of the event loop that actors use: the time, later calls, connections.

    All times are in seconds: `now` is monotonic, `wall` is wall-clock time. `after` calls back once
    after a delay, `soon` in the next turn of the loop.
    """

    def now(self) -> float: ...

    def wall(self) -> float: ...

    def after(self, delay: float, callback: Callable[..., None], *args: Any) -> Timer: ...

    def soon(self, callback: Callable[..., None], *args: Any) -> None: ...

    def listen(self, address: Address, accept: Callable[[Stream], None]) -> None: ...

    def connect(self, address: Address) -> Stream: ...

    def on_pause(self, threshold_s: float, notify: Callable[[float], None]) -> None:
        """Calls `notify` with the seconds lost when the process was paused for over `threshold_s`.

        The call comes before anything that arrived or became due during the pause is handled.
        """

    def on_delay(
        self, threshold_s: float, period_s: float, notify: Callable[[LoopDelay], None]
    ) -> None:
        """Calls `notify` when timers fire over `threshold_s` late, at most once per `period_s`."""


class SocketStream:
    """A non-blocking TCP socket on the loop."""

    __slots__ = ("_events", "_is_open", "_loop", "_socket", "_unsent", "far", "on_close", "on_data")

    def __init__(self, loop: Loop, sock: socket.socket, far: str, is_connected: bool) -> None:
        self._loop, self._socket, self.far, self._is_open = loop, sock, far, is_connected
        self._unsent = bytearray()
        self.on_data: Callable[[bytes], None] = _ignore
        self.on_close: Callable[[], None] = _ignore
        self._events = selectors.EVENT_READ if is_connected else selectors.EVENT_WRITE
        loop.selector.register(sock, self._events, self._on_ready)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether it is not open yet, or keeps bytes that the network has not taken."""
        return not self._is_open or bool(self._unsent)

    def send(self, data: bytes) -> None:
        if self._events == 0:
            return
        if self._is_open and not self._unsent:
            try:
                sent = self._socket.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self._loop.soon(self._finish)
                return
            data = data[sent:]
        if data:
            self._unsent += data
            self._set_events(
                selectors.EVENT_READ | selectors.EVENT_WRITE
                if self._is_open
                else selectors.EVENT_WRITE
            )

    def close(self) -> None:
        """Closes the stream at once, without calling `on_close`."""
        self.on_close = self.on_data = _ignore
        self._finish()

    def _set_events(self, events: int) -> None:
        if events != self._events:
            self._events = events
            self._loop.selector.modify(self._socket, events, self._on_ready)

    def _finish(self) -> None:
        if self._events == 0:
            return
        self._events = 0
        self._loop.selector.unregister(self._socket)
        self._socket.close()
        on_close, self.on_close, self.on_data = self.on_close, _ignore, _ignore
        on_close()

    def _on_ready(self, mask: int) -> None:
        if not self._is_open:
            if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._finish()
                return
            self._is_open = True
            self._flush()
            return
        if mask & selectors.EVENT_WRITE:
            self._flush()
        if mask & selectors.EVENT_READ and self._events:
            try:
                data = self._socket.recv(READ_SIZE_BYTES)
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
            sent = self._socket.send(self._unsent) if self._unsent else 0
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self._finish()
            return
        del self._unsent[:sent]
        self._set_events(
            selectors.EVENT_READ | selectors.EVENT_WRITE if self._unsent else selectors.EVENT_READ
        )


class Loop:
    """One thread, one selector. An exception in a callback is logged and stops nothing else."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._max_timers_before_drop = MIN_TIMERS_TO_CLEAR
        self._order = itertools.count()
        self._soon: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        """Calls to make in the next turn."""
        self._is_running = False
        self._pause_watchers: list[tuple[float, Callable[[float], None]]] = []
        """Thresholds in seconds, and the callbacks for pauses that exceed them."""
        self._delay_monitor: DelayMonitor | None = None
        self._long_callbacks: tuple[float, Callable[[Callable[..., None], float], None]] | None
        self._long_callbacks = None
        self._last_checkpoint_at = time.monotonic()
        self._callback_started_at = 0.0
        self.now = time.monotonic
        self.wall = time.time

    def after(self, delay: float, callback: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(self.now() + delay, callback, args)
        heapq.heappush(self._timers, (timer.when, next(self._order), timer))
        if len(self._timers) > self._max_timers_before_drop:
            self._drop_cancelled_timers()
        return timer

    def _drop_cancelled_timers(self) -> None:
        """Drops cancelled timers, once they may be half of all timers.

        Most timers are timeouts that are cancelled in time; they would stay until they are due.
        """
        self._timers = [entry for entry in self._timers if entry[2].live]
        heapq.heapify(self._timers)
        self._max_timers_before_drop = max(MIN_TIMERS_TO_CLEAR, 2 * len(self._timers))

    def soon(self, callback: Callable[..., None], *args: Any) -> None:
        self._soon.append((callback, args))

    def listen(self, address: Address, accept: Callable[[Stream], None]) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)

        def accept_connections(_: int) -> None:
            # Several per turn: when all workers reconnect at once, with one per turn the last ones
            # would wait too long.
            for _ in range(MAX_ACCEPTS_PER_TURN):
                try:
                    peer, (far, *_) = sock.accept()
                except OSError as error:
                    if error.errno in (errno.EMFILE, errno.ENFILE):
                        log.warning(
                            "the limit on open files is reached; not accepting connections now"
                        )
                    return
                accept(self._stream(peer, far, True))

        self.selector.register(sock, selectors.EVENT_READ, accept_connections)

    def connect(self, address: Address) -> Stream:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex(address)
        return self._stream(sock, address[0], False)

    def _stream(self, sock: socket.socket, far: str, is_connected: bool) -> SocketStream:
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            log.debug("TCP_NODELAY can't be set on this socket; going on without it")
        return SocketStream(self, sock, far, is_connected)

    def on_pause(self, threshold_s: float, notify: Callable[[float], None]) -> None:
        self._pause_watchers.append((threshold_s, notify))

    def on_delay(
        self, threshold_s: float, period_s: float, notify: Callable[[LoopDelay], None]
    ) -> None:
        self._delay_monitor = DelayMonitor(threshold_s, period_s, notify)

    def on_long_callback(
        self, threshold_s: float, notify: Callable[[Callable[..., None], float], None]
    ) -> None:
        """Calls `notify` with each callback that took over `threshold_s`, and its duration."""
        self._long_callbacks = threshold_s, notify

    def _checkpoint(self, waited_s: float = 0.0) -> float:
        """Returns the time; reports a pause if too much time passed since the last checkpoint.

        That is the case if it exceeds `waited_s`, for which the loop meant to wait, by more than a
        watcher's threshold. Without the report, a process that did not run (a frozen host, a long
        garbage collection, a callback that computes for seconds) would blame others for the
        heartbeats that it missed.
        """
        now = self.now()
        pause_s, self._last_checkpoint_at = now - self._last_checkpoint_at - waited_s, now
        for threshold_s, notify in self._pause_watchers:
            if pause_s > threshold_s:
                self._call(notify, (pause_s,))
        return now

    def run(self) -> None:
        self._is_running = True
        self._last_checkpoint_at = self.now()
        while self._is_running:
            self._turn()

    def stop(self) -> None:
        self._is_running = False

    def close(self) -> None:
        """Closes every socket, for a process that continues after the loop; it can't run again."""
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()

    def _turn(self) -> None:
        wait_s: float | None = None
        # Most timers are timeouts that are cancelled in time: waking up for each of them cost more
        # than handling most messages.
        while self._timers and not self._timers[0][2].live:
            heapq.heappop(self._timers)
        now = self._checkpoint()
        if self._soon:
            wait_s = 0.0
        elif self._timers:
            wait_s = max(0.0, self._timers[0][0] - now)
        ready = self.selector.select(wait_s)
        self._callback_started_at = self._checkpoint(float("inf") if wait_s is None else wait_s)
        for key, mask in ready:
            self._call(key.data, (mask,))
        now = self._checkpoint()
        if self._delay_monitor is not None and self._timers and self._timers[0][0] <= now:
            self._delay_monitor.record_timer(now - self._timers[0][0], now)
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.live:
                self._call(*timer.take())
        for _ in range(len(self._soon)):
            callback, args = self._soon.popleft()
            self._call(callback, args)

    def _call(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            callback(*args)
        except Exception:
            log.exception("a callback of the event loop failed; the loop continues")
        if self._delay_monitor is None and self._long_callbacks is None:
            return
        ended_at = self.now()
        duration_s, self._callback_started_at = ended_at - self._callback_started_at, ended_at
        if self._delay_monitor is not None:
            self._delay_monitor.record_callback(callback, duration_s)
        if self._long_callbacks is not None and duration_s > self._long_callbacks[0]:
            self._notify_long_callback(callback, duration_s)

    def _notify_long_callback(self, callback: Callable[..., None], duration_s: float) -> None:
        assert self._long_callbacks is not None
        try:
            self._long_callbacks[1](callback, duration_s)
        except Exception:
            log.exception("reporting a long callback failed; the loop continues")
        # The time that `notify` took must not count as time of the next callback.
        self._callback_started_at = self.now()
