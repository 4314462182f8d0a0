"""Hands each frame of a peer to the handler of its kind, as a typed message."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from .messages import AnyMessage, Frame, MalformedFrameError, from_frame

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

MAX_UNKNOWN_KINDS = 64
"""Of kinds that are logged and remembered: a peer may send any text as a kind."""


class FrameRouter:
    """Owns the handlers of frames by kind."""

    def __init__(self) -> None:
        """Starts without handlers."""
        self._handlers: dict[str, Callable[[str, Frame], None]] = {}
        self._unknown_kinds: set[str] = set()

    def add_message_handler(
        self, message_type: type[AnyMessage], handle: Callable[[str, AnyMessage], None]
    ) -> None:
        """Calls `handle` with the sender and the message for each frame of that type's kind."""

        def handle_frame(sender: str, frame: Frame) -> None:
            try:
                message = from_frame(frame, message_type)
            except MalformedFrameError as error:
                log.warning("event=frame_malformed peer=%s reason=%s", sender, error)
                return
            handle(sender, message)

        self._handlers[message_type.KIND] = handle_frame

    def add_frame_handler(self, kind: str, handle: Callable[[str, Frame], None]) -> None:
        """Calls `handle` with the sender and the frame as it came, for each frame of the kind."""
        self._handlers[kind] = handle

    def route(self, sender: str, frame: Frame) -> None:
        """Hands over the frame; one of an unknown kind is logged once a kind and passed over."""
        kind = frame["k"]
        handle = self._handlers.get(kind)
        if handle is not None:
            handle(sender, frame)
        elif len(self._unknown_kinds) < MAX_UNKNOWN_KINDS and kind not in self._unknown_kinds:
            self._unknown_kinds.add(kind)
            log.info("event=frame_kind_unknown peer=%s kind=%s", sender, kind)
