"""A loop that counts the bytes of connections it opens, and a client that times its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..runtime.http import Client, Reply, ReplyCallback
from ..runtime.loop import Address, Loop, Stream

if TYPE_CHECKING:
    from collections.abc import Callable


class Traffic:
    """Payload bytes of all counted connections, without the overhead of TCP/IP."""

    def __init__(self) -> None:
        self.sent = self.received = 0
        self.connections = 0


class _CountedStream:
    """A stream that adds the bytes sent and received to the traffic."""

    def __init__(self, stream: Stream, traffic: Traffic) -> None:
        self._stream, self._traffic = stream, traffic
        self._on_data: Callable[[bytes], None] = lambda _: None
        self.far = stream.far
        stream.on_data = self._on_received

    @property
    def on_data(self) -> Callable[[bytes], None]:
        return self._on_data

    @on_data.setter
    def on_data(self, listener: Callable[[bytes], None]) -> None:
        self._on_data = listener

    @property
    def on_close(self) -> Callable[[], None]:
        return self._stream.on_close

    @on_close.setter
    def on_close(self, listener: Callable[[], None]) -> None:
        self._stream.on_close = listener

    @property
    def has_unsent_bytes(self) -> bool:
        return self._stream.has_unsent_bytes

    def send(self, data: bytes) -> None:
        self._traffic.sent += len(data)
        self._stream.send(data)

    def close(self) -> None:
        self._stream.close()

    def _on_received(self, data: bytes) -> None:
        self._traffic.received += len(data)
        self._on_data(data)


class CountingLoop(Loop):
    """A loop that counts the traffic of connections it opens, and not of those it accepts."""

    def __init__(self) -> None:
        super().__init__()
        self.traffic = Traffic()

    def connect(self, address: Address) -> Stream:
        self.traffic.connections += 1
        return _CountedStream(super().connect(address), self.traffic)


class MeasuredClient(Client):
    """A client that calls `on_answered` with the duration of each answered request, in seconds."""

    def __init__(
        self,
        runtime: Loop,
        address: Address,
        on_answered: Callable[[float], None],
        max_connections: int = 1,
    ) -> None:
        super().__init__(runtime, address, max_connections)
        self._clock, self._on_answered = runtime.now, on_answered

    def request(
        self, method: str, path: str, body: Any, timeout_s: float, on_reply: ReplyCallback
    ) -> None:
        started_at = self._clock()

        def measure_reply(reply: Reply) -> None:
            if reply.status:
                self._on_answered(self._clock() - started_at)
            on_reply(reply)

        super().request(method, path, body, timeout_s, measure_reply)
