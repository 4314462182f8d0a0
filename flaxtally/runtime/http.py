"""An HTTP/1.1 implementation: incremental parser, server and client, with limits and timeouts."""

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

MAX_HEAD_BYTES = 16 * 1024
"""Maximum size of the start line and headers of a message."""
MAX_BODY_BYTES = 64 * 1024
"""Maximum size of the body of a request."""
MAX_BUFFERED_BYTES = 2 * (MAX_HEAD_BYTES + MAX_BODY_BYTES)
"""Maximum size of the data buffered per connection: a client may send its next request while one is
being handled.
"""
CROWDED_FRACTION = 0.8
"""Fraction of a server's maximum number of connections above which each connection is closed after
its next reply.
"""
REASON_PHRASES = {
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
    """The bytes are not HTTP that this module accepts; `status` is the one to reply with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Message:
    """A request or a response as received; `start` is its start line, split at spaces.

    `closes_connection`: whether the sender closes the connection after it.
    """

    __slots__ = ("body", "closes_connection", "start")

    def __init__(self, start: list[str], body: bytes, closes_connection: bool) -> None:
        self.start, self.body, self.closes_connection = start, body, closes_connection


class Parser:
    """Splits a byte stream into messages: takes bytes by `feed`, returns messages by `next`."""

    __slots__ = (
        "_buffer",
        "_closes_connection",
        "_is_response",
        "_length",
        "_max_body_bytes",
        "_start",
    )

    def __init__(self, is_response: bool, max_body_bytes: int | None) -> None:
        """`max_body_bytes`: the longest body that is accepted; None: any length."""
        self._buffer = bytearray()
        self._is_response, self._max_body_bytes = is_response, max_body_bytes
        self._start: list[str] | None = None
        self._length, self._closes_connection = 0, False

    @property
    def is_idle(self) -> bool:
        """Whether no part of a message is waiting for the rest."""
        return self._start is None and not self._buffer

    @property
    def buffered_bytes(self) -> int:
        """Bytes received that are not part of a returned message yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self._buffer += data

    def next(self) -> Message | None:
        """Returns the next whole message, or None if it has not arrived yet.

        Raises `MalformedMessageError`.
        """
        if self._start is None and not self._parse_head():
            return None
        if len(self._buffer) < self._length:
            return None
        assert self._start is not None
        message = Message(self._start, bytes(self._buffer[: self._length]), self._closes_connection)
        del self._buffer[: self._length]
        self._start = None
        return message

    def _parse_head(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0 or end > MAX_HEAD_BYTES:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise MalformedMessageError(400, "head too long")
            return False
        try:
            lines = self._buffer[:end].decode("latin-1").lstrip("\r\n").split("\r\n")
            start = lines[0].split(" ", 2)
            version = start[0] if self._is_response else start[2]
        except IndexError:
            raise MalformedMessageError(400, "no start line") from None
        if not version.startswith("HTTP/1."):
            raise MalformedMessageError(400, "not HTTP/1")
        length: int | None = None
        self._closes_connection = version == "HTTP/1.0"
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
                self._closes_connection = "close" in value.lower()
        if self._is_response and (len(start) < 2 or not start[1].isdigit()):
            raise MalformedMessageError(400, "bad status")
        self._length = length or 0
        if self._max_body_bytes is not None and self._length > self._max_body_bytes:
            raise MalformedMessageError(413, "body too large")
        del self._buffer[: end + 4]
        self._start = start
        return True


class Request:
    """A request; the handler replies to it exactly once, now or later."""

    __slots__ = ("_connection", "body", "method", "path")

    def __init__(self, connection: ServerConnection, message: Message) -> None:
        self._connection: ServerConnection | None = connection
        self.method, self.path = message.start[0], message.start[1]
        self.body = message.body

    @property
    def remote_host(self) -> str:
        """The client's host; empty after the reply."""
        return self._connection.remote_host if self._connection is not None else ""

    def reply(self, status: int, body: Any = None, retry_after_s: int | None = None) -> None:
        """Sends the reply, with the body in MessagePack; only the first call has an effect."""
        if self._connection is not None:
            connection, self._connection = self._connection, None
            connection.send_reply(status, body, retry_after_s)


class ServerConnection:
    """One accepted connection: one request at a time, limited in size and idle time."""

    def __init__(self, server: Server, stream: Stream) -> None:
        self._server, self._stream = server, stream
        self._parser = Parser(False, MAX_BODY_BYTES)
        self._busy = self._close_after_reply = False
        server.idle_connections[self] = None
        self._idle_since = server.runtime.now()
        self._timer = server.runtime.after(server.idle_timeout_s, self._check_idle_timeout)
        stream.on_data, stream.on_close = self._on_data, self._on_closed

    @property
    def remote_host(self) -> str:
        return self._stream.far

    def _on_data(self, data: bytes) -> None:
        self._parser.feed(data)
        if not self._busy:
            self._handle_next_request()
        if self._parser.buffered_bytes > MAX_BUFFERED_BYTES:
            # A client that waits for replies never sends this much ahead of them.
            log.debug(
                "%s sent requests without waiting for replies; closing its connection",
                self._stream.far,
            )
            self.close()

    def _handle_next_request(self) -> None:
        try:
            message = self._parser.next()
        except MalformedMessageError as error:
            self._close_after_reply = True
            self.send_reply(error.status, {"error": str(error)}, None)
            return
        if message is None:
            return
        self._busy, self._close_after_reply = True, message.closes_connection
        self._server.idle_connections.pop(self, None)
        request = Request(self, message)
        try:
            self._server.handler(request)
        except Exception:
            log.exception("the handler of a request failed; replying 500")
            request.reply(500, {"error": "internal"})

    def send_reply(self, status: int, body: Any, retry_after_s: int | None) -> None:
        payload = b"" if body is None else pack(body)
        reason = REASON_PHRASES.get(status, "Status")
        head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(payload)}\r\n"
        if payload:
            head += "Content-Type: application/msgpack\r\n"
        if retry_after_s is not None:
            head += f"Retry-After: {retry_after_s}\r\n"
        if self._close_after_reply or self._server.is_crowded:
            self._close_after_reply = True
            head += "Connection: close\r\n"
        self._stream.send(head.encode("latin-1") + b"\r\n" + payload)
        self._busy = False
        if self._close_after_reply:
            self._server.runtime.after(self._server.linger_s, self.close)
            return
        self._server.idle_connections[self] = None
        self._idle_since = self._server.runtime.now()
        if not self._parser.is_idle:
            self._server.runtime.soon(self._handle_next_request)

    def _check_idle_timeout(self) -> None:
        """Closes a connection on which no whole request arrived within the idle timeout.

        Each connection has one timer, set again when it fires: with one per request these would be
        the majority of all timers.
        """
        server = self._server
        remaining_s = server.idle_timeout_s
        if not self._busy:
            remaining_s += self._idle_since - server.runtime.now()
        if remaining_s > 0:
            # At least `linger_s`: the remaining time may be less than the clock's resolution.
            self._timer = server.runtime.after(
                max(remaining_s, server.linger_s), self._check_idle_timeout
            )
        else:
            self.close()

    def close(self) -> None:
        self._stream.close()
        self._on_closed()

    def _on_closed(self) -> None:
        self._timer.cancel()
        self._busy = True
        self._server.connections.discard(self)
        self._server.idle_connections.pop(self, None)


class Server:
    """Accepts up to `max_connections` connections.

    They can't take the sockets reserved for peers, the key-value store and the cloud. Above
    `CROWDED_FRACTION` of the limit each connection is closed after its next reply; at the limit a
    new connection replaces the one that has been idle for longest. A controller that is the only
    one running has more workers than connections: if it refused the last ones, they would lose
    their leases.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        handler: Callable[[Request], None],
        max_connections: int,
        idle_timeout_s: float,
        linger_s: float,
    ) -> None:
        self.runtime, self.handler, self.max_connections = runtime, handler, max_connections
        self.idle_timeout_s, self.linger_s = idle_timeout_s, linger_s
        self.connections: set[ServerConnection] = set()
        self.idle_connections: dict[ServerConnection, None] = {}
        """Connections without a request that is being handled, the longest idle first."""
        runtime.listen(address, self._accept)

    @property
    def is_crowded(self) -> bool:
        """Whether connections are closed after their next reply."""
        return len(self.connections) > self.max_connections * CROWDED_FRACTION

    def _accept(self, stream: Stream) -> None:
        if len(self.connections) >= self.max_connections:
            longest_idle = next(iter(self.idle_connections), None)
            if longest_idle is None:
                stream.close()
                return
            longest_idle.close()
        self.connections.add(ServerConnection(self, stream))


class Reply:
    """A response. Status 0: none arrived; the request may have been executed, or may still be."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes = b"") -> None:
        self.status, self.body = status, body


ReplyCallback = Callable[[Reply], None]


class _Call:
    __slots__ = ("data", "on_reply", "timer")

    def __init__(self, data: bytes, on_reply: ReplyCallback) -> None:
        self.data, self.on_reply = data, on_reply
        self.timer: Timer | None = None


class OpenConnections:
    """The number of connections that the clients which share this object have open together."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


class Client:
    """Sends requests to one address, without pipelining, over at most `max_connections`."""

    def __init__(
        self,
        runtime: Runtime,
        address: Address,
        max_connections: int = 1,
        open_connections: OpenConnections | None = None,
    ) -> None:
        """`open_connections`: counts the connections of this client and of others that share it."""
        self._runtime, self._address, self._max_connections = runtime, address, max_connections
        self._open_connections = open_connections or OpenConnections()
        self._host = f"{address[0]}:{address[1]}"
        self._idle_streams: list[Stream] = []
        self._waiting: deque[_Call] = deque()
        self._busy: dict[Stream, _Call] = {}

    def request(
        self, method: str, path: str, body: Any, timeout_s: float, on_reply: ReplyCallback
    ) -> None:
        """Sends a request; `on_reply` gets the response, or status 0 after `timeout_s`."""
        payload = b"" if body is None else pack(body)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\nContent-Length: {len(payload)}\r\n"
        )
        if payload:
            head += "Content-Type: application/msgpack\r\n"
        call = _Call(head.encode("latin-1") + b"\r\n" + payload, on_reply)
        call.timer = self._runtime.after(timeout_s, self._on_timeout, call)
        self._waiting.append(call)
        self._start_waiting_calls()

    @property
    def is_busy(self) -> bool:
        """Whether a request has no reply yet."""
        return bool(self._busy or self._waiting)

    def close(self) -> None:
        """Closes all connections; requests without a reply get status 0."""
        streams = [*self._idle_streams, *self._busy]
        for stream in streams:
            stream.close()
        self._open_connections.count -= len(streams)
        calls = [*self._busy.values(), *self._waiting]
        self._idle_streams, self._busy = [], {}
        self._waiting.clear()
        for call in calls:
            self._finish(call, Reply(0))

    def abort_unsent_calls(self) -> None:
        """Ends the calls that were not passed to the network completely; they get status 0.

        No server executes them: it never receives the whole request.
        """
        calls = list(self._waiting)
        self._waiting.clear()
        for call in calls:
            self._finish(call, Reply(0))
        for stream in [stream for stream in self._busy if stream.has_unsent_bytes]:
            stream.close()
            self._on_connection_lost(stream)

    def _start_waiting_calls(self) -> None:
        while self._waiting and (self._idle_streams or len(self._busy) < self._max_connections):
            call = self._waiting.popleft()
            stream = self._idle_streams.pop() if self._idle_streams else self._connect()
            self._busy[stream] = call
            parser = Parser(True, None)
            stream.on_data = partial(self._on_data, stream, parser)
            stream.on_close = partial(self._on_connection_lost, stream)
            stream.send(call.data)

    def _connect(self) -> Stream:
        self._open_connections.count += 1
        return self._runtime.connect(self._address)

    def _on_data(self, stream: Stream, parser: Parser, data: bytes) -> None:
        parser.feed(data)
        try:
            message = parser.next()
        except MalformedMessageError as error:
            log.warning("malformed response from %s: %s; closing the connection", self._host, error)
            stream.close()
            self._on_connection_lost(stream)
            return
        if message is None:
            return
        call = self._busy.pop(stream, None)
        if message.closes_connection or call is None:
            if stream in self._idle_streams:
                self._idle_streams.remove(stream)
            stream.close()
            self._open_connections.count -= 1
        else:
            self._idle_streams.append(stream)
        if call is not None:
            self._finish(call, Reply(int(message.start[1]), message.body))
        self._start_waiting_calls()

    def _on_connection_lost(self, stream: Stream) -> None:
        self._open_connections.count -= 1
        if stream in self._idle_streams:
            self._idle_streams.remove(stream)
        call = self._busy.pop(stream, None)
        if call is not None:
            self._finish(call, Reply(0))
        self._start_waiting_calls()

    def _on_timeout(self, call: _Call) -> None:
        for stream, busy_call in self._busy.items():
            if busy_call is call:
                stream.close()
                self._on_connection_lost(stream)
                return
        if call in self._waiting:
            self._waiting.remove(call)
            self._finish(call, Reply(0))

    @staticmethod
    def _finish(call: _Call, reply: Reply) -> None:
        if call.timer is not None:
            call.timer.cancel()
        call.on_reply(reply)
