"""A leader's authority: whether it may decide, and may do what nothing can fence.

The writes of a former leader fail, and machines that have heard of its successor refuse its
commands. Nothing fences its calls to the cloud, nor its stops of tasks on other machines. So its
right to these is confirmed at the moment at which they would be sent.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ledger.write_ahead_log import WriteAheadLog

log = logging.getLogger(__name__)


class Leadership(Protocol):
    """What the leader election knows about this controller's leadership."""

    @property
    def is_leader(self) -> bool:
        """Whether this controller believes that it leads."""

    @property
    def term(self) -> int:
        """The newest term that this controller knows of."""

    @property
    def may_be_superseded(self) -> bool:
        """Whether another controller may have taken over unnoticed."""

    @property
    def is_store_down_for_all(self) -> bool:
        """Whether every other controller has just said that it can't reach the store either."""


class Authority:
    """The authority of a leader in one term."""

    def __init__(self, term: int, leadership: Leadership, ledger: WriteAheadLog) -> None:
        """`ledger`: proves leadership by a transaction."""
        self._term = term
        self._leadership = leadership
        self._ledger = ledger
        self.may_be_superseded = False
        """Whether another controller may lead by now: see `LeaderElection.may_be_superseded`."""
        self.is_suspended = False
        """Whether leadership is in doubt and has not been confirmed since: see `Suspension`."""
        self._short_pause_count = 0
        """How often the process was paused, pauses included that are too short to suspend it."""
        self._was_denied = False

    def change_term(self, term: int) -> None:
        """Records that the leader has taken a further term and leads on."""
        self._term = term

    def on_short_pause(self) -> None:
        """Records a pause of the process: confirmations under way are asked for again."""
        self._short_pause_count += 1

    @property
    def is_assumed(self) -> bool:
        """Whether nothing is known that speaks against the leader's authority.

        False from the moment of a step-down on, although the term ends a little later.
        """
        leadership = self._leadership
        return (
            not self.is_suspended
            and not self.may_be_superseded
            and leadership.is_leader
            and leadership.term == self._term
            and not leadership.may_be_superseded
        )

    def confirm(self, on_confirmed: Callable[[], None], on_denied: Callable[[], None]) -> None:
        """Calls `on_confirmed` if an act that nothing can fence may be done now, else `on_denied`.

        It may be done if a transaction sent after this call proves leadership, and the process was
        not paused since. If the key-value store can't be reached, it may be done if it is down for
        all controllers.
        """
        short_pause_count = self._short_pause_count

        def on_done(is_leader: bool) -> None:
            if short_pause_count != self._short_pause_count:
                # The reply may have waited in the socket while another controller took over.
                self.confirm(on_confirmed, on_denied)
            elif self.is_assumed and (is_leader or self._leadership.is_store_down_for_all):
                self._was_denied = False
                on_confirmed()
            else:
                self._log_denial()
                on_denied()

        if self.is_assumed:
            self._ledger.confirm_leadership(on_done)
        else:
            on_denied()

    def _log_denial(self) -> None:
        """Logs that an act was denied, once until the next one is confirmed."""
        if not self._was_denied:
            self._was_denied = True
            log.info("event=authority_denied term=%d", self._term)
