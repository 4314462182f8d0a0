"""Requests for scheduling passes, from the actors of a term to its scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class PassRequests:
    """Passes requests for a scheduling pass on to the scheduler.

    It is created before the scheduler, because most of the actors that the scheduler depends on
    request passes themselves.
    """

    def __init__(self) -> None:
        """Starts without listeners: requests before the scheduler subscribes have no effect."""
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, on_request: Callable[[], None]) -> None:
        """Calls `on_request` at each later request."""
        self._listeners.append(on_request)

    def publish(self) -> None:
        """Requests a scheduling pass."""
        for on_request in self._listeners:
            on_request()
