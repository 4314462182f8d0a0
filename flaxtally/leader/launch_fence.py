"""Fences off the launches of attempts that have ended, by raising the fencing token.

A machine does not start an attempt again while it lists the attempt's exit. Once it has forgotten
the exit, any copy of a launch would start the task again, and copies arrive late, whether or not
the launch was answered. So an exit may be forgotten only if the machine refuses all such copies by
their fencing token or their incarnation.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

from .term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ledger.placement import Placement
    from ..planning.fleet import Machine

log = logging.getLogger(__name__)

MAX_WAITING_EXITS = 50
"""Exits on one machine for which the token is raised at once: heartbeats list all of them."""


class RaiseReason(Enum):
    """Why the fencing token is raised. The values are written to the log."""

    EXITS_WAIT = "exits_wait"
    MANY_EXITS_ON_A_MACHINE = "many_exits_on_a_machine"
    GANG_WAITS = "gang_waits"
    """A gang waits until a machine refuses commands about a lost task."""


class LaunchFence(TermActor):
    """Decides which launches are fenced off, and raises the token while exits wait for that."""

    def __init__(self, term: Term, raise_token: Callable[[], None]) -> None:
        """`raise_token`: has the leader take a further term and lead on in it."""
        super().__init__(term)
        self._raise_token = raise_token
        self._raised_at = float("-inf")
        self._waiting_since: float | None = None
        """When the first exit that waits was reported; None: none waits."""
        self._waiting_exits: Counter[str] = Counter()
        """The number of exits that wait for the next token, by machine."""
        self._does_gang_wait = False

    def is_fenced(self, machine: Machine, placement: Placement) -> bool:
        """Whether the machine executes no launch of the placement after a batch sent from now on.

        Such a batch raises the machine's token to the term's. Launches of earlier terms have a
        lower one, and a machine's incarnation is the newest that it has reported.
        """
        return (
            placement.launch_token < self.term.number
            or placement.launch_incarnation < machine.incarnation
        )

    def await_exit(self, machine: Machine, placement: Placement) -> None:
        """Has the token raised within a while, if the placement's launches are not fenced off."""
        if not self.is_fenced(machine, placement):
            self._waiting_exits[machine.name] += 1
            if self._waiting_since is None:
                self._waiting_since = self.runtime.now()

    def await_gang_commands(self) -> None:
        """Has the token raised soon: a gang waits until a machine refuses earlier commands."""
        self._does_gang_wait = True

    def check(self) -> None:
        """Raises the token if something waits for that, and it was not raised just before."""
        reason = self._find_reason()
        if reason is not None and not self.term.pending_number and self.term.may_act:
            log.info(
                "event=token_raise_begun term=%d reason=%s exits=%d machines=%d",
                self.term.number,
                reason.value,
                self._waiting_exits.total(),
                len(self._waiting_exits),
            )
            self._raise_token()

    def _find_reason(self) -> RaiseReason | None:
        """Returns why the token is to be raised now; None if it is not."""
        now = self.runtime.now()
        # Workers report a higher token at once only if half of their lease has passed since.
        if now - self._raised_at < self.settings.lease_s / 2:
            return None
        if self._does_gang_wait:
            return RaiseReason.GANG_WAITS
        if max(self._waiting_exits.values(), default=0) >= MAX_WAITING_EXITS:
            return RaiseReason.MANY_EXITS_ON_A_MACHINE
        if self._waiting_since is not None and now - self._waiting_since >= self.policy.exits_kept:
            return RaiseReason.EXITS_WAIT
        return None

    def on_token_raised(self) -> None:
        """Records that batches carry a higher token now: all earlier launches are fenced off."""
        log.info("event=token_raised term=%d", self.term.number)
        self._raised_at = self.runtime.now()
        self._waiting_since = None
        self._waiting_exits.clear()
        self._does_gang_wait = False
