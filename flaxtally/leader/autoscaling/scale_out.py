"""Rental requests under way, and pools that refused."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ...planning.fleet import Pool
    from ...planning.provisioning import ProvisionDecision

log = logging.getLogger(__name__)

MOST_REST = 8
"""Times half of `pool_rest` that a pool rests at most, however often it refused in a row."""


@dataclass
class _Request:
    """A rental request whose outcome is not known."""

    pool: Pool
    count: int
    asked_at: float


class ScaleOut(TermActor):
    """Owns the rental requests under way. Each is sent under one name until its outcome is known.

    `replan` is called when a gap must be planned anew before the next step.
    """

    def __init__(self, term: Term, replan: Callable[[], None]) -> None:
        super().__init__(term)
        self._replan_now = replan
        self._sent = 0
        self._pending: dict[str, _Request] = {}
        self._resting: dict[Pool, float] = {}
        self._refusals: dict[Pool, int] = {}
        self._replanning = False
        self._asking: set[str] = set()
        """Requests whose answer has not come yet; none is sent twice at a time."""

    def pending(self) -> Iterator[tuple[Pool, int]]:
        """The machines asked for."""
        for request in self._pending.values():
            yield request.pool, request.count

    def is_in_backoff(self, pool: Pool) -> bool:
        """Whether the pool refused a short while ago."""
        return self._resting.get(pool, 0.0) > self.runtime.now()

    def provision(self, pool: Pool, count: int, why: ProvisionDecision) -> None:
        """Asks the cloud for machines of a pool."""
        self._sent += 1
        name = f"{self.settings.node}-{self.term.number}-{self._sent}"
        log.info(
            "event=rent term=%d request=%s type=%s zone=%s spot=%s count=%d lane=%s score=%.3f "
            "gap=%.0f-%.0f",
            self.term.number,
            name,
            pool.machine_type,
            pool.zone,
            pool.spot,
            count,
            why.job_class,
            why.score,
            why.needed_from_s,
            why.needed_until_s,
        )
        self._pending[name] = _Request(pool, count, self.runtime.now())
        self._send(name)

    def retry(self) -> None:
        """Asks again, under the same name, for rentals whose answer was lost.

        After an outage the gap is planned anew.
        """
        now = self.runtime.now()
        self._resting = {pool: until for pool, until in self._resting.items() if until > now}
        for name, request in list(self._pending.items()):
            if now - request.asked_at > self.policy.plan_lead:
                del self._pending[name]
            elif now - request.asked_at > self.policy.order_call:
                self._send(name)

    def _send(self, name: str) -> None:
        if name in self._asking:
            return
        request = self._pending[name]
        pool, count = request.pool, request.count
        self._asking.add(name)

        def told(outcome: str, machines: list[str]) -> None:
            self._asking.discard(name)
            if not self.term.active or outcome == "unknown":
                return
            self._pending.pop(name, None)
            if outcome == "trouble":
                # It was not executed, and the next plan knows better what is needed by then.
                return
            self._rented(request, machines)
            if len(machines) < count:
                self._refused(pool, len(machines), count)

        self.cloud.provision(name, pool.machine_type, pool.zone, pool.spot, count, told)

    def _rented(self, request: _Request, machines: list[str]) -> None:
        pool = request.pool
        for name in machines:
            if name not in self.fleet.removed_machines:
                machine = self.fleet.add_machine(name, pool.machine_type, pool.zone, pool.spot)
                if machine.is_booting:
                    machine.provisioned_at = request.asked_at
        self._refusals[pool] = 0 if machines else self._refusals.get(pool, 0) + 1

    def _refused(self, pool: Pool, got: int, count: int) -> None:
        """The pool rests, longer each time in a row, and the gap is planned anew at once."""
        rest = self.policy.pool_rest * min(2 ** self._refusals[pool], MOST_REST) / 2
        self._resting[pool] = self.runtime.now() + rest
        if not self._replanning:
            self._replanning = True
            self.later(self.policy.retry / 8, self._replan)
        log.info(
            "event=refused_pool term=%d type=%s zone=%s spot=%s got=%d of=%d",
            self.term.number,
            pool.machine_type,
            pool.zone,
            pool.spot,
            got,
            count,
        )

    def _replan(self) -> None:
        self._replanning = False
        if not self._pending and self.term.may_act:
            self._replan_now()
