"""Commands that send one request to a controller: `submit`, `status`, `cancel` and `loans`."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..settings import parse_address
from .common import ExitCode, InvalidInputError

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

    from ..runtime.http import Reply
    from ..runtime.loop import Address

FIRST_PRINTABLE, LAST_PRINTABLE = 33, 126
"""Range of the ASCII codes that the path of a request may contain."""
STATUS_MEANINGS = {
    400: "the request is malformed",
    404: "unknown job or page; check the job's id, or whether the leader enables the feature",
    422: "the request can never be carried out; see the reply's error",
    429: "too many requests; try again later",
    503: "no leader can answer now; try again later",
}
"""What the statuses of a controller's replies mean for the user."""


@dataclass(frozen=True)
class ControllerRequest:
    """A request to a controller."""

    method: str
    path: str
    body: Any = None
    format_reply: Callable[[bytes], str] | None = None
    """Formats the body of a reply with status 200 for printing; None: as JSON."""


def submit(arguments: argparse.Namespace) -> ExitCode:
    """Submits the job of a JSON file."""
    from ..protocol import wire

    return _send(arguments, ControllerRequest("POST", wire.JOBS, _read_job(arguments.job)))


def show_status(arguments: argparse.Namespace) -> ExitCode:
    """Shows a job's state."""
    from ..protocol import wire

    return _send(arguments, ControllerRequest("GET", f"{wire.JOBS}/{arguments.ref}"))


def cancel(arguments: argparse.Namespace) -> ExitCode:
    """Cancels a job."""
    from ..protocol import wire

    return _send(arguments, ControllerRequest("POST", f"{wire.JOBS}/{arguments.ref}/cancel"))


def show_loans(arguments: argparse.Namespace) -> ExitCode:
    """Shows what teams lend and borrow."""
    from ..protocol import wire

    format_reply = None if arguments.json else _format_loans
    return _send(arguments, ControllerRequest("GET", wire.LOANS, format_reply=format_reply))


def _read_job(path: str) -> dict[str, Any]:
    """Reads a job in the protocol's fields from a JSON file; "-" is standard input."""
    import msgspec

    try:
        text = sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as error:
        raise InvalidInputError(f"{path}: can't be read: {error.strerror or error}") from None
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise InvalidInputError(f"{path}: not a job as a JSON object: {error}") from None


def _format_loans(body: bytes) -> str:
    import msgspec

    from ..lending.page import LoansPage, format_page

    return format_page(msgspec.msgpack.decode(body, type=LoansPage))


def _send(arguments: argparse.Namespace, request: ControllerRequest) -> ExitCode:
    """Sends the request to the controller at `--to`, and prints its reply to standard output."""
    controller = parse_address(arguments.to)
    if controller is None:
        raise InvalidInputError(
            f"--to {arguments.to}: not HOST:PORT; expected a controller's address"
        )
    if any(not FIRST_PRINTABLE <= ord(character) <= LAST_PRINTABLE for character in request.path):
        raise InvalidInputError(
            f"ID {arguments.ref!r}: not a job's id; expected printable ASCII without spaces"
        )
    reply = _await_reply(controller, request, arguments.timeout)
    if reply.status == 0:
        print(
            f"flaxtally: --to {arguments.to}: no answer (--timeout {arguments.timeout:g} s); "
            "expected a running controller",
            file=sys.stderr,
        )
        return ExitCode.REFUSED
    if reply.body:
        print(_format(request, reply))
    if reply.status not in (200, 201):
        print(
            f"flaxtally: {arguments.to} answered {reply.status} to {request.method} "
            f"{request.path}: {STATUS_MEANINGS.get(reply.status, 'expected status 200 or 201')}",
            file=sys.stderr,
        )
        return ExitCode.REFUSED
    return ExitCode.DONE


def _await_reply(controller: Address, request: ControllerRequest, timeout_s: float) -> Reply:
    """Runs an event loop until the reply arrives; status 0 if there is none in time."""
    from ..runtime.http import Client, Reply
    from ..runtime.loop import Loop

    loop, replies = Loop(), list[Reply]()

    def on_reply(reply: Reply) -> None:
        replies.append(reply)
        loop.stop()

    client = Client(loop, controller)
    client.request(request.method, request.path, request.body, timeout_s, on_reply)
    loop.run()
    return replies[0]


def _format(request: ControllerRequest, reply: Reply) -> str:
    import msgspec

    if request.format_reply is not None and reply.status == 200:
        return request.format_reply(reply.body)
    return msgspec.json.encode(msgspec.msgpack.decode(reply.body)).decode()
