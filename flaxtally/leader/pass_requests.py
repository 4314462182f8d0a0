"""How the actors of a term ask its scheduler for a scheduling pass."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class PassRequests:
    """Passes requests for a scheduling pass on to the scheduler.

    It is created with the term, before the scheduler: most of the actors that the scheduler works
    with ask for passes themselves.
    """

    def __init__(self) -> None:
        """Starts without listeners: requests made before the term is wired have no effect."""
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, on_request: Callable[[], None]) -> None:
        """Calls `on_request` at each request from now on."""
        self._listeners.append(on_request)

    def publish(self) -> None:
        """Asks for a scheduling pass."""
        for on_request in self._listeners:
            on_request()
