"""The leader's replies to requests of users and operators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..protocol.jobs import JobStatus

OK = 200
CREATED = 201
NOT_FOUND = 404
UNPROCESSABLE = 422
UNAVAILABLE = 503

ReplyBody = JobStatus | dict[str, Any] | None
"""A job's status, or another object with the fields of the HTTP API; None: no body."""

OnReply = Callable[[int, ReplyBody], None]
"""Called once, with an HTTP status and a body."""


def reply_unavailable(on_reply: OnReply) -> None:
    """Replies 503, which asks the client to try again later."""
    on_reply(UNAVAILABLE, None)


def reply_error(on_reply: OnReply, status: int, reason: str) -> None:
    """Rejects the request with an HTTP status and a reason for the client."""
    on_reply(status, {"error": reason})
