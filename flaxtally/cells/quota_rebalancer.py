"""A cell's shares of the teams' limits: followed, asked for and given away by the cell's leader.

Why the shares hold, in short (`docs/scale.md`): only the leader of a cell lowers the cell's share.
It first lowers what it uses for itself, then writes; the write is guarded by the versions of the
team's key and of the cell's claim. A leader claims its cell before it reads the shares, and uses
nothing before: so a predecessor's write comes before the claim, and is read, or never.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, unquote

import msgspec

from ..clients.key_value_store import KeyValueStore, Outcome
from ..runtime.actor import Actor
from .shares import (
    TOLERANCE,
    ZERO,
    Amount,
    TeamShares,
    build_equal_shares,
    get_team_limit,
    share_as_team,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire
    from ..runtime.loop import Runtime
    from ..settings import Team

log = logging.getLogger(__name__)

SHARE_KEY_PREFIX = "share/"
CLAIMS = "claim/"
KEPT = 0.1
"""Of the equal share: so much of what it doesn't use a cell keeps for what comes next."""
OTHERWISE = 1.5
"""What a cell lacks is said anew when it has changed by this factor."""
WRITES = 0.5
"""Of the shared state service's changes: so much may be those of shares, of all cells together."""


@dataclass
class _Row:
    """A team's key as it was read or written last."""

    shares: TeamShares
    version: int
    pending: TeamShares | None = None
    """Written, and not known to be applied or not. Until then the cell uses the smaller share."""


def share_key(team: str) -> str:
    """The key of a team's shares; keys hold no spaces."""
    return SHARE_KEY_PREFIX + quote(team, safe="")


def team_of(key: str) -> str:
    """The team of such a key."""
    return unquote(key.removeprefix(SHARE_KEY_PREFIX))


def wanted_otherwise(said: Amount, lacking: Amount) -> bool:
    """Whether what a cell lacks differs so much from what it said that it says it anew."""
    return any(
        now > OTHERWISE * before + TOLERANCE or before > OTHERWISE * now + TOLERANCE
        for before, now in zip(said, lacking, strict=True)
    )


class QuotaRebalancer(Actor):
    """Owns a leader's knowledge of its cell's shares; the `TeamLimits` of a cell."""

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        cell: str,
        cells: Callable[[], list[str]],
        teams: dict[str, Team],
        demand: Callable[[], dict[str, Amount]],
        period: float,
        write_rps: float,
    ) -> None:
        """`demand`: what each team uses here, all that counts against its share, and waits for.

        `period`: seconds between reads of the shares. `write_rps`: changes a second that the shared
        state service takes.
        """
        super().__init__(runtime)
        self._store, self._cell, self._cells, self._teams = store, cell, cells, teams
        self._demand, self._period = demand, period
        self._generation = 0
        self._term = 0
        self._claim: int | None = None
        """The version of the cell's claim by this term; None: not claimed."""
        self._rows: dict[str, _Row] = {}
        self._limits: dict[str, Team] = {}
        """The teams' limits by the rows as they are; forgotten when a row changes."""
        self._damaged: set[str] = set()
        """Teams whose key holds nonsense: it is left to the operators, and not written."""
        self._busy = False
        self._write_rps = write_rps
        self._order = sorted(name for name, team in teams.items() if any(get_team_limit(team)))
        """Teams with a limit, in the order in which they are looked at next."""

    # The leader's limits

    def find_team(self, team: str) -> Team | None:
        # Asked for each task that is placed; shares change about once a second.
        limit = self._limits.get(team)
        if limit is None and team in self._teams:
            limit = self._limits[team] = self._limit(self._teams[team])
        return limit

    def _limit(self, settings: Team) -> Team:
        row = self._rows.get(settings.name)
        shares = row.shares if row is not None else TeamShares({})
        share = shares.share(self._cell)
        if row is not None and row.pending is not None:
            share = share.at_most(row.pending.share(self._cell))
        return share_as_team(settings, shares, share)

    def begin_term(self, term: int) -> None:
        """A term begins: nothing may be used before the claim and a read after it.

        The ledger has been read: before that nothing would seem used, and all be given away.
        """
        self.end_term()
        self._term = term
        cells = self._cells()
        first = cells.index(self._cell) * len(self._order) // len(cells)
        # Cells that begin together create the first shares of different teams.
        self._order = self._order[first:] + self._order[:first]
        self._turn(self._generation)

    def end_term(self) -> None:
        self._generation += 1
        self._claim, self._rows, self._busy, self._term = None, {}, False, 0
        self._limits.clear()

    # Claim, read, ask, give: one call at a time

    def _turn(self, generation: int) -> None:
        if generation != self._generation:
            return
        self.later(self._period, self._turn, generation)
        if self._busy:
            return
        self._busy = True
        if self._claim is None:
            self._store.get(CLAIMS + self._cell, self._guarded(self._read_claim))
        else:
            self._store.list_prefix(SHARE_KEY_PREFIX, self._guarded(self._take_rows))

    def _guarded(self, handler: Callable[..., None]) -> Callable[..., None]:
        """The handler, unless another term has begun or this one has ended meanwhile."""
        generation = self._generation

        def told(*answer: Any) -> None:
            if generation == self._generation:
                self._busy = False
                handler(*answer)

        return told

    def _read_claim(self, known: bool, row: wire.Row | None) -> None:
        if not known:
            return
        if row is not None and not (isinstance(row.value, int) and row.value < self._term):
            # A later leader has claimed the cell, or an earlier try of ours was applied after all:
            # then its version is the claim's.
            if row.value == self._term:
                self._claim = row.version
                self._read_now()
            else:
                log.warning("event=claim_refused cell=%s term=%d", self._cell, self._term)
            return
        key = CLAIMS + self._cell
        version = row.version if row is not None else 0

        def told(outcome: Outcome, revision: int) -> None:
            if outcome is Outcome.COMMITTED:
                self._claim = revision
                log.info("event=claimed cell=%s term=%d", self._cell, self._term)
                self._read_now()

        self._busy = True
        self._store.compare_and_swap(
            {key: version}, {key: self._term}, [], self._guarded(told), first=True
        )

    def _read_now(self) -> None:
        self._busy = True
        self._store.list_prefix(SHARE_KEY_PREFIX, self._guarded(self._take_rows))

    def _take_rows(self, rows: list[wire.Row] | None) -> None:
        if rows is None:
            return
        for row in rows:
            self._take(team_of(row.key), row)
        self._write_changes()

    def _take(self, team: str, row: wire.Row) -> None:
        known = self._rows.get(team)
        if team not in self._teams or (known is not None and known.version >= row.version):
            # The same version: what is under way may still be applied.
            return
        try:
            shares = msgspec.convert(row.value, TeamShares)
        except msgspec.ValidationError as fault:
            if team not in self._damaged:
                log.error("event=shares_damaged team=%s why=%s", team, fault)
            self._damaged.add(team)
            return
        self._damaged.discard(team)
        self._note(team, _Row(shares, row.version))

    def _note(self, team: str, row: _Row) -> None:
        self._rows[team] = row
        self._limits.pop(team, None)

    # Asking and giving

    def _write_changes(self) -> None:
        changes: dict[str, TeamShares] = {}
        demand, cells = self._demand(), self._cells()
        most = max(1, int(self._write_rps * WRITES * self._period / len(cells)))
        looked = 0
        for name in self._order:
            if len(changes) >= most:
                break
            looked += 1
            if name in self._damaged:
                continue
            team, row = self._teams[name], self._rows.get(name)
            if row is None:
                changes[name] = build_equal_shares(team, cells)
                continue
            changed = self._changed(team, row, demand.get(name, ZERO))
            if changed != row.shares:
                changes[name] = changed
        # Who was not looked at for want of writes is first the next time.
        self._order = self._order[looked:] + self._order[:looked]
        if changes:
            self._write(changes)

    def _changed(self, team: Team, row: _Row, needed: Amount) -> TeamShares:
        """The team's shares after this cell has said what it wants, and given what it can."""
        if row.pending is not None:
            # Written again as it was, under the same version: at most one copy is applied.
            return row.pending
        share, limit = row.shares.share(self._cell), get_team_limit(team)
        lacking = needed.minus(share).at_least_nothing()
        shares = row.shares
        free = limit.minus(shares.total).at_least_nothing().at_most(lacking)
        if not free.is_nothing:
            shares, lacking = shares.grown(self._cell, free), lacking.minus(free)
        if wanted_otherwise(shares.wants.get(self._cell, ZERO), lacking):
            shares = shares.with_want(self._cell, lacking.at_most(limit))
        kept = limit.times(KEPT / len(self._cells()))
        spare = share.minus(needed + kept).at_least_nothing()
        for taker in sorted(shares.wants):
            gift = shares.wants[taker].at_most(spare)
            if taker != self._cell and not gift.is_nothing:
                shares = shares.moved(self._cell, taker, gift)
                spare = spare.minus(gift).at_least_nothing()
        shares.check(limit if row.shares.total.within(limit) else row.shares.total)
        return shares

    def _write(self, changes: dict[str, TeamShares]) -> None:
        assert self._claim is not None
        guards = {CLAIMS + self._cell: self._claim}
        puts: dict[str, Any] = {}
        for name, shares in changes.items():
            row = self._rows.get(name)
            key = share_key(name)
            guards[key] = row.version if row is not None else 0
            puts[key] = msgspec.to_builtins(shares)
            if row is not None:
                # Taken before it is given: from now on no more than this is used here.
                row.pending = shares
                self._limits.pop(name, None)

        def told(outcome: Outcome, revision: int) -> None:
            if outcome is Outcome.COMMITTED:
                for name, shares in changes.items():
                    self._note(name, _Row(shares, revision))
            elif outcome is Outcome.CONFLICT:
                # The claim or a row has changed: both are read again. An earlier copy may have been
                # applied, which the rows' versions tell.
                self._claim = None
            # Not executed, or not known: written again in the next turn.

        self._busy = True
        self._store.compare_and_swap(guards, puts, [], self._guarded(told))
