"""Sends provisioning requests, and applies a back-off to instance pools that refuse them."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from ...clients.cloud import ProvisionOutcome
from ...protocol.cloud import ProvisionRequest
from ..term import Term, TermActor

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ...planning.fleet import Pool
    from ...planning.provisioning import ProvisionDecision

log = logging.getLogger(__name__)

MAX_BACKOFF_FACTOR = 8
"""Upper bound of a pool's back-off, as a multiple of half of the policy's `pool_rest`."""


@dataclass
class _Request:
    """A provisioning request whose outcome is not known yet."""

    pool: Pool
    count: int
    requested_at: float


class ScaleOut(TermActor):
    """Owns the provisioning requests in flight.

    Each request keeps its name until its outcome is known, so that the cloud does not execute a
    repeated request twice.
    """

    def __init__(self, term: Term, on_rescale_due: Callable[[], None]) -> None:
        """`on_rescale_due`: called when a gap must be planned again before the next step."""
        super().__init__(term)
        self._on_rescale_due = on_rescale_due
        self._request_count = 0
        self._requests: dict[str, _Request] = {}
        self._backoff_until: dict[Pool, float] = {}
        self._consecutive_refusals: dict[Pool, int] = {}
        self._is_rescale_scheduled = False
        self._awaiting_reply: set[str] = set()
        """Names of the requests with a call in flight; none is sent again meanwhile."""

    def list_pending_machines(self) -> Iterator[tuple[Pool, int]]:
        """Yields pool and count of the machines requested and not yet granted or refused."""
        for request in self._requests.values():
            yield request.pool, request.count

    def is_in_backoff(self, pool: Pool) -> bool:
        """Returns whether the pool is in back-off after a recent refusal."""
        return self._backoff_until.get(pool, 0.0) > self.runtime.now()

    def provision(self, pool: Pool, count: int, decision: ProvisionDecision) -> None:
        """Requests machines of a pool from the cloud; `decision` is logged as the reason."""
        self._request_count += 1
        name = f"{self.settings.node}-{self.term.number}-{self._request_count}"
        log.info(
            "event=machines_requested term=%d request=%s type=%s zone=%s spot=%s count=%d "
            "job_class=%s score=%.3f gap=%.0f-%.0f",
            self.term.number,
            name,
            pool.machine_type,
            pool.zone,
            pool.spot,
            count,
            decision.job_class,
            decision.score,
            decision.needed_from_s,
            decision.needed_until_s,
        )
        self._requests[name] = _Request(pool, count, self.runtime.now())
        self._send(name)

    def retry_requests(self) -> None:
        """Repeats, under the same name, the requests whose reply was lost.

        Drops requests older than the planning horizon: after an outage the gap is planned again.
        """
        now = self.runtime.now()
        self._backoff_until = {
            pool: until for pool, until in self._backoff_until.items() if until > now
        }
        for name, request in list(self._requests.items()):
            if now - request.requested_at > self.policy.plan_lead:
                del self._requests[name]
            elif now - request.requested_at > self.policy.order_call:
                self._send(name)

    def _send(self, name: str) -> None:
        if name in self._awaiting_reply:
            return
        request = self._requests[name]
        pool = request.pool
        self._awaiting_reply.add(name)
        self.cloud.provision(
            ProvisionRequest(name, pool.machine_type, pool.zone, pool.spot, request.count),
            partial(self._on_reply, name, request),
        )

    def _on_reply(
        self, name: str, request: _Request, outcome: ProvisionOutcome, machines: list[str]
    ) -> None:
        self._awaiting_reply.discard(name)
        if not self.term.active or outcome is ProvisionOutcome.INDETERMINATE:
            return
        self._requests.pop(name, None)
        if outcome is ProvisionOutcome.UNAVAILABLE:
            # The request was not executed; the next planning step works with newer demand.
            return
        self._add_machines(request, machines)
        if len(machines) < request.count:
            self._start_backoff(request, len(machines))

    def _add_machines(self, request: _Request, machines: list[str]) -> None:
        pool = request.pool
        for name in machines:
            if name not in self.fleet.removed_machines:
                machine = self.fleet.add_machine(name, pool.machine_type, pool.zone, spot=pool.spot)
                if machine.is_booting:
                    machine.provisioned_at = request.requested_at
        refusals = self._consecutive_refusals.get(pool, 0)
        self._consecutive_refusals[pool] = 0 if machines else refusals + 1

    def _start_backoff(self, request: _Request, granted_count: int) -> None:
        """Starts an exponential back-off of the pool and schedules planning of the gap again."""
        pool = request.pool
        factor = min(2 ** self._consecutive_refusals[pool], MAX_BACKOFF_FACTOR)
        self._backoff_until[pool] = self.runtime.now() + self.policy.pool_rest * factor / 2
        if not self._is_rescale_scheduled:
            self._is_rescale_scheduled = True
            self.later(self.policy.retry / 8, self._rescale)
        log.info(
            "event=pool_refused term=%d type=%s zone=%s spot=%s got=%d of=%d",
            self.term.number,
            pool.machine_type,
            pool.zone,
            pool.spot,
            granted_count,
            request.count,
        )

    def _rescale(self) -> None:
        self._is_rescale_scheduled = False
        if not self._requests and self.term.may_act:
            self._on_rescale_due()
