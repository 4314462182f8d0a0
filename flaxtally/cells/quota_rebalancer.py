"""A cell's shares of the teams' limits: its leader reads, requests and transfers them.

Why the sum of the shares never exceeds a limit (details in `docs/scale.md`): only the leader of a
cell lowers the cell's share. It lowers the limit that it enforces before it writes the lower share,
and the write is guarded by the versions of the team's key and of the cell's claim. A leader claims
its cell before it reads the shares, and uses nothing until it has read them. A predecessor's write
is therefore either committed before the claim, and read, or it is rejected.
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
    limit_team_to_share,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..protocol import wire
    from ..runtime.loop import Runtime
    from ..settings import Team

log = logging.getLogger(__name__)

SHARE_KEY_PREFIX = "share/"
"""Prefix of the key of a team's shares."""
CLAIM_KEY_PREFIX = "claim/"
"""Prefix of a cell's claim: the term of its leader, which fences off former leaders."""
RESERVED_SHARE_FRACTION = 0.1
"""A cell doesn't transfer this fraction of an equal share, which it keeps unused for new tasks."""
SHORTFALL_CHANGE_RATIO = 1.5
"""A cell announces its shortfall again when it has grown or shrunk by more than this factor."""
SHARE_WRITES_FRACTION = 0.5
"""Fraction of the shared state service's write rate that all cells together use for shares."""


@dataclass
class _ShareRow:
    """A team's shares as they were last read or written."""

    shares: TeamShares
    version: int
    pending: TeamShares | None = None
    """Shares whose write has an unknown outcome; meanwhile the cell uses the smaller of both."""


def build_share_key(team: str) -> str:
    """Builds the key of a team's shares; the name is quoted because keys hold no spaces."""
    return SHARE_KEY_PREFIX + quote(team, safe="")


def parse_share_key(key: str) -> str:
    """Returns the team whose shares are stored under the key."""
    return unquote(key.removeprefix(SHARE_KEY_PREFIX))


def has_shortfall_changed(announced: Amount, shortfall: Amount) -> bool:
    """Whether a cell's shortfall differs enough from the announced one to announce it again."""
    return any(
        now > SHORTFALL_CHANGE_RATIO * before + TOLERANCE
        or before > SHORTFALL_CHANGE_RATIO * now + TOLERANCE
        for before, now in zip(announced, shortfall, strict=True)
    )


class QuotaRebalancer(Actor):
    """Keeps a cell's shares of the teams' limits while its leader leads.

    It implements `TeamLimits` for the leader of a cell.
    """

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        cell: str,
        list_cells: Callable[[], list[str]],
        teams: dict[str, Team],
        compute_demand: Callable[[], dict[str, Amount]],
        period_s: float,
        write_rps: float,
    ) -> None:
        """Takes the client of the shared state service, this cell's name, and the teams.

        `list_cells`: returns the names of all cells.
        `compute_demand`: returns each team's demand in this cell, which is all usage that counts
        against its share plus what its pending tasks need. `period_s`: time between reads of the
        shares. `write_rps`: writes per second that the shared state service accepts.
        """
        super().__init__(runtime)
        self._store, self._cell, self._list_cells, self._teams = store, cell, list_cells, teams
        self._compute_demand, self._period_s = compute_demand, period_s
        self._generation = 0
        """Increases when a term ends; replies and timers of an earlier generation are ignored."""
        self._term = 0
        self._claim: int | None = None
        """Version of the cell's claim by this term; None while the cell is not claimed."""
        self._rows: dict[str, _ShareRow] = {}
        self._limits: dict[str, Team] = {}
        """Cached limits of the teams; an entry is dropped when the team's row changes."""
        self._damaged_teams: set[str] = set()
        """Teams whose key can't be decoded. It is not overwritten: operators must repair it."""
        self._is_call_in_flight = False
        self._write_rps = write_rps
        self._teams_to_visit = sorted(
            name for name, team in teams.items() if any(get_team_limit(team))
        )
        """Teams with a limit, in the order in which the next cycle visits them."""

    # Limits that the leader enforces

    def find_team(self, team: str) -> Team | None:
        # The limit is cached: this is called for each task that is placed, while shares change only
        # about once a second.
        limit = self._limits.get(team)
        if limit is None and team in self._teams:
            limit = self._limits[team] = self._compute_limit(self._teams[team])
        return limit

    def _compute_limit(self, settings: Team) -> Team:
        row = self._rows.get(settings.name)
        shares = row.shares if row is not None else TeamShares({})
        share = shares.get_share(self._cell)
        if row is not None and row.pending is not None:
            share = share.at_most(row.pending.get_share(self._cell))
        return limit_team_to_share(settings, shares, share)

    def begin_term(self, term: int) -> None:
        """Starts a term. The cell may use nothing until it is claimed and the shares are read.

        The ledger must have been replayed: without it the cell would seem to use nothing, and all
        of its shares would be transferred to other cells.
        """
        self.end_term()
        self._term = term
        cells = self._list_cells()
        first = cells.index(self._cell) * len(self._teams_to_visit) // len(cells)
        # Cells that start together begin with different teams, so that they don't all try to create
        # the same keys.
        self._teams_to_visit = self._teams_to_visit[first:] + self._teams_to_visit[:first]
        self._run_cycle(self._generation)

    def end_term(self) -> None:
        self._generation += 1
        self._claim, self._rows, self._is_call_in_flight, self._term = None, {}, False, 0
        self._limits.clear()

    # Claiming the cell and reading the shares; one call is in flight at a time

    def _run_cycle(self, generation: int) -> None:
        if generation != self._generation:
            return
        self.later(self._period_s, self._run_cycle, generation)
        if self._is_call_in_flight:
            return
        self._is_call_in_flight = True
        if self._claim is None:
            self._store.get(
                CLAIM_KEY_PREFIX + self._cell, self._only_in_this_term(self._handle_claim)
            )
        else:
            self._store.list_prefix(SHARE_KEY_PREFIX, self._only_in_this_term(self._handle_rows))

    def _only_in_this_term(self, handler: Callable[..., None]) -> Callable[..., None]:
        """Wraps a reply's handler so that it is not called after this term has ended."""
        generation = self._generation

        def on_reply(*reply: Any) -> None:
            if generation == self._generation:
                self._is_call_in_flight = False
                handler(*reply)

        return on_reply

    def _handle_claim(self, known: bool, row: wire.Row | None) -> None:
        if not known:
            return
        if row is not None and not (isinstance(row.value, int) and row.value < self._term):
            # Either a later leader has claimed the cell, or an earlier attempt of this leader was
            # executed after all: then the row's version is the claim's version.
            if row.value == self._term:
                self._claim = row.version
                self._read_shares()
            else:
                log.warning("event=claim_refused cell=%s term=%d", self._cell, self._term)
            return
        key = CLAIM_KEY_PREFIX + self._cell
        version = row.version if row is not None else 0

        def on_reply(outcome: Outcome, revision: int) -> None:
            if outcome is Outcome.COMMITTED:
                self._claim = revision
                log.info("event=claimed cell=%s term=%d", self._cell, self._term)
                self._read_shares()

        self._is_call_in_flight = True
        self._store.compare_and_swap(
            {key: version},
            {key: self._term},
            [],
            self._only_in_this_term(on_reply),
            is_first_try=True,
        )

    def _read_shares(self) -> None:
        self._is_call_in_flight = True
        self._store.list_prefix(SHARE_KEY_PREFIX, self._only_in_this_term(self._handle_rows))

    def _handle_rows(self, rows: list[wire.Row] | None) -> None:
        if rows is None:
            return
        for row in rows:
            self._handle_row(parse_share_key(row.key), row)
        self._write_changes()

    def _handle_row(self, team: str, row: wire.Row) -> None:
        known = self._rows.get(team)
        if team not in self._teams or (known is not None and known.version >= row.version):
            # The version is unchanged: a pending write may still be executed.
            return
        try:
            shares = msgspec.convert(row.value, TeamShares)
        except msgspec.ValidationError as error:
            if team not in self._damaged_teams:
                log.error("event=shares_damaged team=%s why=%s", team, error)
            self._damaged_teams.add(team)
            return
        self._damaged_teams.discard(team)
        self._set_row(team, _ShareRow(shares, row.version))

    def _set_row(self, team: str, row: _ShareRow) -> None:
        self._rows[team] = row
        self._limits.pop(team, None)

    # Requesting and transferring shares

    def _write_changes(self) -> None:
        changes: dict[str, TeamShares] = {}
        demand_by_team, cells = self._compute_demand(), self._list_cells()
        max_writes = max(
            1, int(self._write_rps * SHARE_WRITES_FRACTION * self._period_s / len(cells))
        )
        visited = 0
        for name in self._teams_to_visit:
            if len(changes) >= max_writes:
                break
            visited += 1
            if name in self._damaged_teams:
                continue
            team, row = self._teams[name], self._rows.get(name)
            if row is None:
                changes[name] = build_equal_shares(team, cells)
                continue
            new_shares = self._compute_shares(team, row, demand_by_team.get(name, ZERO))
            if new_shares != row.shares:
                changes[name] = new_shares
        # Teams that were not visited because of the write limit come first in the next cycle.
        self._teams_to_visit = self._teams_to_visit[visited:] + self._teams_to_visit[:visited]
        if changes:
            self._write(changes)

    def _compute_shares(self, team: Team, row: _ShareRow, demand: Amount) -> TeamShares:
        """Computes the team's shares after this cell's request and its transfers to other cells."""
        if row.pending is not None:
            # Written again unchanged, guarded by the same version: at most one copy is executed.
            return row.pending
        share, limit = row.shares.get_share(self._cell), get_team_limit(team)
        shortfall = demand.minus(share).at_least_zero()
        shares = row.shares
        free = limit.minus(shares.total).at_least_zero().at_most(shortfall)
        if not free.is_zero:
            shares, shortfall = shares.with_growth(self._cell, free), shortfall.minus(free)
        if has_shortfall_changed(shares.wants.get(self._cell, ZERO), shortfall):
            shares = shares.with_want(self._cell, shortfall.at_most(limit))
        reserve = limit.times(RESERVED_SHARE_FRACTION / len(self._list_cells()))
        surplus = share.minus(demand + reserve).at_least_zero()
        for target_cell in sorted(shares.wants):
            amount = shares.wants[target_cell].at_most(surplus)
            if target_cell != self._cell and not amount.is_zero:
                shares = shares.with_transfer(self._cell, target_cell, amount)
                surplus = surplus.minus(amount).at_least_zero()
        shares.check(limit if row.shares.total.is_within(limit) else row.shares.total)
        return shares

    def _write(self, changes: dict[str, TeamShares]) -> None:
        assert self._claim is not None
        guards = {CLAIM_KEY_PREFIX + self._cell: self._claim}
        puts: dict[str, Any] = {}
        for name, shares in changes.items():
            row = self._rows.get(name)
            key = build_share_key(name)
            guards[key] = row.version if row is not None else 0
            puts[key] = msgspec.to_builtins(shares)
            if row is not None:
                # The limit is lowered before the write that gives the difference to other cells.
                row.pending = shares
                self._limits.pop(name, None)

        def on_reply(outcome: Outcome, revision: int) -> None:
            if outcome is Outcome.COMMITTED:
                for name, shares in changes.items():
                    self._set_row(name, _ShareRow(shares, revision))
            elif outcome is Outcome.CONFLICT:
                # The claim or a row has changed, so both are read again. If an earlier copy of this
                # write was executed, the rows' versions show it.
                self._claim = None
            # Any other outcome: not executed, or unknown. The next cycle writes the same again.

        self._is_call_in_flight = True
        self._store.compare_and_swap(guards, puts, [], self._only_in_this_term(on_reply))
