"""HTTP/1.1 of our own: an incremental parser, a server and a client, with limits and time-outs."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from .loop import Address, Runtime, Stream, Timer

log = logging.getLogger(__name__)

HEAD_LIMIT = 16 * 1024
BODY_LIMIT = 64 * 1024
MOST_BUFFERED = 2 * (HEAD_LIMIT + BODY_LIMIT)
"""Bytes kept of one connection: a client may send its next request while one is under way."""
CROWDED = 0.8
REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
pack = msgspec.msgpack.Encoder().encode


class MalformedMessageError(Exception):
    """The bytes are no HTTP we accept; `status` is the answer that they get."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Message:
    """A request or a response as it came off the wire."""

    __slots__ = ("body", "close", "start")

    def __init__(self, start: list[str], body: bytes, close: bool) -> None:
        self.start, self.body, self.close = start, body, close


class Parser:
    """Takes bytes in any pieces, gives whole messages. `limit` bounds the body (None: any size)."""

    __slots__ = ("_buffer", "_close", "_length", "_limit", "_response", "_start")

    def __init__(self, response: bool, limit: int | None) -> None:
        self._buffer = bytearray()
        self._response, self._limit = response, limit
        self._start: list[str] | None = None
        self._length, self._close = 0, False

    @property
    def idle(self) -> bool:
        return self._start is None and not self._buffer

    @property
    def buffered(self) -> int:
        """Bytes that came and belong to no message yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next(self) -> Message | None:
        if self._start is None and not self._head():
            return None
        if len(self._buffer) < self._length:
            return None
        assert self._start is not None
        message = Message(self._start, bytes(self._buffer[: self._length]), self._close)
        del self._buffer[: self._length]
        self._start = None
        return message

    def _head(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0 or end > HEAD_LIMIT:
            if len(self._buffer) > HEAD_LIMIT:
                raise MalformedMessageError(400, "head too long")
            return False
        try:
            lines = self._buffer[:end].decode("latin-1").lstrip("\r\n").split("\r\n")
            start = lines[0].split(" ", 2)
            version = start[0] if self._response else start[2]
        except IndexError:
            raise MalformedMessageError(400, "no start line") from None
        if not version.startswith("HTTP/1."):
            raise MalformedMessageError(400, "not HTTP/1")
        length: int | None = None
        self._close = version == "HTTP/1.0"
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise MalformedMessageError(400, "bad header")
            name, value = name.lower(), value.strip()
            if name == "content-length":
                if not (value.isascii() and value.isdigit()) or length not in (None, int(value)):
                    raise MalformedMessageError(400, "bad length")
                length = int(value)
            elif name == "transfer-encoding":
                raise MalformedMessageError(400, "transfer encodings are not taken")
            elif name == "connection":
                self._close = "close" in value.lower()
        if self._response and (len(start) < 2 or not start[1].isdigit()):
            raise MalformedMessageError(400, "bad status")
        self._length = length or 0
        if self._limit is not None and self._length > self._limit:
            raise MalformedMessageError(413, "body too large")
        del self._buffer[: end + 4]
        self._start = start
        return True


class Request:
    """A request to answer exactly once, now or later."""

    __slots__ = ("_conn", "body", "method", "path")

    def __init__(self, conn: ServerConn, message: Message) -> None:
        self._conn: ServerConn | None = conn
        self.method, self.path = message.start[0], message.start[1]
        self.body = message.body

    @property
    def far(self) -> str:
        """The host that asks."""
        return self._conn.far if self._conn is not None else ""

    def reply(self, status: int, body: Any = None, retry_after: int | None = None) -> None:
        if self._conn is not None:
            conn, self._conn = self._conn, None
            conn.answer(status, body, retry_after)


class ServerConn:
    """One accepted connection: a request at a time, bounded in size and in patience."""

    def __init__(self, server: Server, stream: Stream) -> None:
        self._server, self._stream = server, stream
        self._parser = Parser(False, BODY_LIMIT)
        self._busy = self._last = False
        server.idle[self] = None
        self._idle_since = server.runtime.now()
        self._timer = server.runtime.after(server.patience, self._check_patience)
        stream.on_data, stream.on_close = self._data, self._closed

    @property
    def far(self) -> str:
        return self._stream.far

    def _data(self, data: bytes) -> None:
        self._parser.feed(data)
        if not self._busy:
            self._step()
        if self._parser.buffered > MOST_BUFFERED:
            # Nobody who waits for answers sends so much ahead of them.
            log.debug("%s sends without waiting for answers", self._stream.far)
            self.shut()

    def _step(self) -> None:
        try:
            message = self._parser.next()
        except MalformedMessageError as fault:
            self._last = True
            self.answer(fault.status, {"error": str(fault)}, None)
            return
        if message is None:
            return
        self._busy, self._last = True, message.close
        self._server.idle.pop(self, None)
        request = Request(self, message)
        try:
            self._server.handler(request)
        except Exception:
            log.exception("a request's handler failed")
            request.reply(500, {"error": "internal"})

    def answer(self, status: int, body: Any, retry_after: int | None) -> None:
        payload = b"" if body is None else pack(body)
        reason = REASONS.get(status, "Status")
        head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(payload)}\r\n"
        if payload:
            head += "Content-Type: application/msgpack\r\n"
        if retry_after is not None:
            head += f"Retry-After: {retry_after}\r\n"
        if self._last or self._server.crowded:
            self._last = True
            head += "Connection: close\r\n"
        self._stream.send(head.encode("latin-1") + b"\r\n" + payload)
        self._busy = False
        if self._last:
            self._server.runtime.after(self._server.linger, self.shut)
            return
        self._server.idle[self] = None
        self._idle_since = self._server.runtime.now()
        if not self._parser.idle:
            self._server.runtime.soon(self._step)

    def _check_patience(self) -> None:
        """Closes a connection on which no whole request came for too long.

        One timer a connection, set anew when it is due: one a request would be the most of all
        timers.
        """
        server = self._server
        left = server.patience
        if not self._busy:
            left += self._idle_since - server.runtime.now()
        if left > 0:
            # Not sooner than `linger`: what is left may be too little to move the clock.
            self._timer = server.runtime.after(max(left, server.linger), self._check_patience)
        else:
            self.shut()

    def shut(self) -> None:
        self._stream.close()
        self._closed()

    def _closed(self) -> None:
        self._timer.cancel()
        self._busy = True
        self._server.open.discard(self)
        self._server.idle.pop(self, None)


class Server:
    """Accepts up to `most` connections.

    The sockets kept for peers, state service and cloud can't be taken by others. When there are
    nearly as many, each ends with its next answer; for one beyond them the one that is idle for
    longest is closed. A controller that is alone has more workers than connections to keep: were it
    to refuse the last ones, these would lose their leases.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        handler: Callable[[Request], None],
        most: int,
        patience: float,
        linger: float,
    ) -> None:
        self.runtime, self.handler, self.most = runtime, handler, most
        self.patience, self.linger = patience, linger
        self.open: set[ServerConn] = set()
        self.idle: dict[ServerConn, None] = {}
        """Those without a request under way, the longest idle first."""
        runtime.listen(address, self._accept)

    @property
    def crowded(self) -> bool:
        return len(self.open) > self.most * CROWDED

    def _accept(self, stream: Stream) -> None:
        if len(self.open) >= self.most:
            oldest = next(iter(self.idle), None)
            if oldest is None:
                stream.close()
                return
            oldest.shut()
        self.open.add(ServerConn(self, stream))


class Reply:
    """A response. Status 0: none came, so the request may have been executed or may yet be."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes = b"") -> None:
        self.status, self.body = status, body


ReplyCallback = Callable[[Reply], None]


class _Call:
    __slots__ = ("data", "done", "timer")

    def __init__(self, data: bytes, done: ReplyCallback) -> None:
        self.data, self.done = data, done
        self.timer: Timer | None = None


class OpenConnections:
    """How many connections several clients hold together."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


class Client:
    """Requests to one address over at most `most` kept connections, none pipelined."""

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        most: int = 1,
        opened: OpenConnections | None = None,
    ) -> None:
        """`opened`: where the connections are counted together with those of other clients."""
        self._runtime, self._address, self._most = runtime, address, most
        self._opened = opened or OpenConnections()
        self._host = f"{address[0]}:{address[1]}"
        self._idle: list[Stream] = []
        self._waiting: deque[_Call] = deque()
        self._busy: dict[Stream, _Call] = {}

    def request(
        self, method: str, path: str, body: Any, timeout: float, done: ReplyCallback
    ) -> None:
        payload = b"" if body is None else pack(body)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\nContent-Length: {len(payload)}\r\n"
        )
        if payload:
            head += "Content-Type: application/msgpack\r\n"
        call = _Call(head.encode("latin-1") + b"\r\n" + payload, done)
        call.timer = self._runtime.after(timeout, self._expired, call)
        self._waiting.append(call)
        self._pump()

    @property
    def busy(self) -> bool:
        return bool(self._busy or self._waiting)

    def close(self) -> None:
        streams = [*self._idle, *self._busy]
        for stream in streams:
            stream.close()
        self._opened.count -= len(streams)
        calls = [*self._busy.values(), *self._waiting]
        self._idle, self._busy = [], {}
        self._waiting.clear()
        for call in calls:
            self._finish(call, Reply(0))

    def _pump(self) -> None:
        while self._waiting and (self._idle or len(self._busy) < self._most):
            call = self._waiting.popleft()
            stream = self._idle.pop() if self._idle else self._connect()
            self._busy[stream] = call
            parser = Parser(True, None)
            stream.on_data = partial(self._data, stream, parser)
            stream.on_close = partial(self._lost, stream)
            stream.send(call.data)

    def _connect(self) -> Stream:
        self._opened.count += 1
        return self._runtime.connect(self._address)

    def _data(self, stream: Stream, parser: Parser, data: bytes) -> None:
        parser.feed(data)
        try:
            message = parser.next()
        except MalformedMessageError as fault:
            log.warning("bad response from %s: %s", self._host, fault)
            stream.close()
            self._lost(stream)
            return
        if message is None:
            return
        call = self._busy.pop(stream, None)
        if message.close or call is None:
            if stream in self._idle:
                self._idle.remove(stream)
            stream.close()
            self._opened.count -= 1
        else:
            self._idle.append(stream)
        if call is not None:
            self._finish(call, Reply(int(message.start[1]), message.body))
        self._pump()

    def _lost(self, stream: Stream) -> None:
        self._opened.count -= 1
        if stream in self._idle:
            self._idle.remove(stream)
        call = self._busy.pop(stream, None)
        if call is not None:
            self._finish(call, Reply(0))
        self._pump()

    def _expired(self, call: _Call) -> None:
        for stream, busy in self._busy.items():
            if busy is call:
                stream.close()
                self._lost(stream)
                return
        if call in self._waiting:
            self._waiting.remove(call)
            self._finish(call, Reply(0))

    @staticmethod
    def _finish(call: _Call, reply: Reply) -> None:
        if call.timer is not None:
            call.timer.cancel()
        call.done(reply)
