"""Suspends a term while it is in doubt whether this controller still leads.

A pause of the process, and a machine that reports the fencing token of a later term, are signs that
another controller leads by now. Until a transaction sent after the sign proves the opposite, the
term provisions, terminates, moves and preempts nothing and sends no commands. Commits need not
wait: they fail if another leader has taken over.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from .term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)


class _ReportedToken(NamedTuple):
    """A fencing token above the term's own, and the machine that reported it."""

    machine: str
    token: int


class Suspension(TermActor):
    """Owns the signs that another controller may lead, and has them refuted or confirmed."""

    def __init__(self, term: Term, on_resumed: Callable[[], None]) -> None:
        """`on_resumed`: called when leadership was confirmed after the last sign."""
        super().__init__(term)
        self._on_resumed = on_resumed
        self._sign_count = 0
        self._reported_tokens: set[_ReportedToken] = set()
        """The reported tokens, refuted or not: a faulty worker suspends the term only once."""

    def handle_pause(self) -> None:
        """Suspends the term after the process was paused: another controller may lead by now."""
        self.term.pause_count += 1
        self._suspend()

    def handle_higher_token(self, machine: str, token: int) -> None:
        """Suspends the term because a machine reports the token of a later term.

        Only a later leader can have sent it, unless the worker is faulty.
        """
        report = _ReportedToken(machine, token)
        if report in self._reported_tokens:
            return
        self._reported_tokens.add(report)
        if not self.term.authority.is_suspended:
            log.info(
                "event=higher_token term=%d token=%d machine=%s", self.term.number, token, machine
            )
        self._suspend()

    def _suspend(self) -> None:
        self._sign_count += 1
        self.cloud.pause_calls()
        if not self.term.authority.is_suspended:
            self.term.authority.is_suspended = True
            self._confirm_leadership()

    def _confirm_leadership(self) -> None:
        """Resumes the term after a read barrier during which no further sign appeared.

        Tries again after `retry` if there was one or leadership was not confirmed.
        """
        if self.term.is_over:
            return
        sign_count = self._sign_count

        def on_confirmed(is_leader: bool) -> None:
            if self.term.is_over:
                return
            if not is_leader or sign_count != self._sign_count:
                self.later(self.policy.retry, self._confirm_leadership)
                return
            self._resume()

        self.ledger.confirm_leadership(on_confirmed)

    def _resume(self) -> None:
        log.info("event=leadership_confirmed term=%d", self.term.number)
        self.term.authority.is_suspended = False
        self.cloud.resume()
        self._on_resumed()
