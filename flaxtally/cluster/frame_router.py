"""Passes each frame of a peer to the handler for its kind, as a typed message."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from .messages import AnyMessage, Frame, MalformedFrameError, from_frame

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

MAX_UNKNOWN_KINDS = 64
"""Unknown kinds that are remembered, each logged once. A peer may send any string as a kind, so the
set must be bounded.
"""


class FrameRouter:
    """Holds the handler of each kind of frame."""

    def __init__(self) -> None:
        """Starts without handlers."""
        self._handlers: dict[str, Callable[[str, Frame], None]] = {}
        self._unknown_kinds: set[str] = set()

    def add_message_handler(
        self, message_type: type[AnyMessage], handle: Callable[[str, AnyMessage], None]
    ) -> None:
        """Registers `handle`, which gets the sender and the message of each frame of this type."""

        def handle_frame(sender: str, frame: Frame) -> None:
            try:
                message = from_frame(frame, message_type)
            except MalformedFrameError as error:
                log.warning("event=frame_malformed peer=%s reason=%s", sender, error)
                return
            handle(sender, message)

        self._handlers[message_type.KIND] = handle_frame

    def add_frame_handler(self, kind: str, handle: Callable[[str, Frame], None]) -> None:
        """Registers `handle`, which gets the sender and the frame itself, for each of the kind."""
        self._handlers[kind] = handle

    def route(self, sender: str, frame: Frame) -> None:
        """Passes the frame to its handler; unknown kinds are logged once each and ignored."""
        kind = frame["k"]
        handle = self._handlers.get(kind)
        if handle is not None:
            handle(sender, frame)
        elif len(self._unknown_kinds) < MAX_UNKNOWN_KINDS and kind not in self._unknown_kinds:
            self._unknown_kinds.add(kind)
            log.info("event=frame_kind_unknown peer=%s kind=%s", sender, kind)
