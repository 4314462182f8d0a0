"""A team's limit divided among cells: the arithmetic, and the leaders that transfer shares."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from flaxtally.cells.quota_rebalancer import CLAIM_KEY_PREFIX, SHARE_KEY_PREFIX, QuotaRebalancer
from flaxtally.cells.shares import (
    TOLERANCE,
    ZERO,
    Amount,
    ShareError,
    TeamShares,
    build_equal_shares,
    get_team_limit,
    limit_team_to_share,
)
from flaxtally.clients.key_value_store import KeyValueStore
from flaxtally.fakes.key_value_store import FakeKeyValueStore
from flaxtally.protocol import wire
from flaxtally.settings import Team

from .simulation import Simulation
from .test_sockets import run_for

if TYPE_CHECKING:
    from collections.abc import Callable

TEAM = Team("crew", 10.0, 40.0, 4.0, 8.0)
CELLS = ["east", "north", "south"]
STATE = ("10.2.0.1", 2379)
PERIOD_S = 1.0


# Arithmetic


@pytest.mark.real_processes
@given(
    st.lists(
        st.tuples(
            st.sampled_from(CELLS),
            st.sampled_from(CELLS),
            st.floats(0, 50, allow_nan=False),
            st.floats(0, 10, allow_nan=False),
        ),
        max_size=40,
    )
)
def test_any_sequence_of_transfers_keeps_the_sum_of_shares(
    moves: list[tuple[str, str, float, float]],
) -> None:
    # Transfers that round, or take more than the giver has, must not create or lose resources.
    shares = build_equal_shares(TEAM, CELLS)
    for source_cell, target_cell, cores, gpus in moves:
        before = shares
        try:
            shares = shares.with_transfer(source_cell, target_cell, Amount(cores, gpus))
        except ShareError:
            assert source_cell == target_cell or not Amount(cores, gpus).is_within(
                before.get_share(source_cell)
            )
        shares.check(get_team_limit(TEAM))
        assert shares.total.cores == pytest.approx(40.0, abs=1e-3)
        assert shares.total.gpus == pytest.approx(8.0, abs=1e-3)


def test_shares_above_the_limit_or_below_zero_are_refused() -> None:
    with pytest.raises(ShareError, match="above the limit"):
        TeamShares({"north": Amount(30.0, 4.0), "south": Amount(11.0, 4.0)}).check(
            get_team_limit(TEAM)
        )
    with pytest.raises(ShareError, match=r"cell south: share \(-1\.0, 4\.0\) is negative"):
        TeamShares({"north": Amount(30.0, 4.0), "south": Amount(-1.0, 4.0)}).check(
            get_team_limit(TEAM)
        )


def test_cell_sees_its_share_as_the_limit_and_an_equal_part_of_the_guarantee() -> None:
    shares = TeamShares({"north": Amount(10.0, 0.0), "south": Amount(30.0, 8.0)})
    north = limit_team_to_share(TEAM, shares, shares.get_share("north"))
    assert (north.cores, north.cores_max, north.gpus) == (2.5, 10.0, 0.0)
    # 0 would mean that there is no limit.
    assert 0 < north.gpus_max < TOLERANCE
    free = Team("free", 1.0, 0.0, 0.0, 0.0)
    assert limit_team_to_share(free, TeamShares({}), ZERO) == free


def test_shares_shrink_in_proportion_when_the_limit_is_lowered() -> None:
    # The stored shares still sum to the former limit, so each cell scales its own.
    shares = build_equal_shares(TEAM, ["north", "south"])
    lower = Team("crew", 10.0, 20.0, 4.0, 8.0)
    assert limit_team_to_share(lower, shares, shares.get_share("north")).cores_max == 10.0


# Leaders


class Cell:
    """A cell's `QuotaRebalancer` whose usage and demand are set by the test."""

    def __init__(self, cluster: Shares, cell: str, host: str) -> None:
        self.used, self.needed = ZERO, ZERO
        runtime = cluster.sim.host(host)
        self.quota_rebalancer = QuotaRebalancer(
            runtime,
            KeyValueStore(runtime, STATE, 1.5, 0.5),
            cell,
            lambda: ["north", "south"],
            cluster.teams,
            lambda: {"crew": self.used + self.needed},
            PERIOD_S,
            50.0,
        )

    @property
    def gpus(self) -> float:
        team = self.quota_rebalancer.find_team("crew")
        assert team is not None
        return team.gpus_max


class Shares:
    """A state service and the rebalancers of two cells."""

    def __init__(self, *other_teams: Team) -> None:
        self.teams = {team.name: team for team in (TEAM, *other_teams)}
        self.sim = Simulation(1)
        self.state = FakeKeyValueStore(self.sim.host(STATE[0]), STATE)
        self.north, self.south = Cell(self, "north", "10.0.0.1"), Cell(self, "south", "10.0.0.2")
        self.north.quota_rebalancer.begin_term(1)
        self.south.quota_rebalancer.begin_term(1)

    def run(self, seconds: float) -> None:
        """Runs the simulation; both cells together may never use more than the limit."""
        for _ in range(round(seconds / 0.01)):
            run_for(self.sim, 0.01)
            assert self.north.gpus + self.south.gpus <= TEAM.gpus_max + TOLERANCE
            assert self.row().total.is_within(get_team_limit(TEAM))

    def until(self, condition: Callable[[], bool], most: float = 10.0) -> None:
        """Runs the simulation until the condition holds; fails after `most` seconds."""
        end = self.sim.time + most
        while not condition():
            assert self.sim.time < end, "the condition did not hold in time"
            run_for(self.sim, 0.01)

    def row(self) -> TeamShares:
        stored = self.state.rows.get(SHARE_KEY_PREFIX + "crew")
        return TeamShares({}) if stored is None else msgspec.convert(stored[0], TeamShares)

    def put(self, key: str, value: object) -> None:
        txn = wire.Transaction.build({}, {key: value}, [])
        assert self.state.transact(txn)[0] == 200


def test_nothing_may_be_used_before_the_cell_is_claimed_and_shares_are_read() -> None:
    # A predecessor may have transferred shares that a new term does not know of yet.
    cluster = Shares()
    assert cluster.north.gpus < TOLERANCE
    cluster.run(3.0)
    assert cluster.north.gpus == 4.0
    cluster.state.down = True
    cluster.north.quota_rebalancer.begin_term(2)
    cluster.run(3.0)
    assert cluster.north.gpus < TOLERANCE, (
        "a new term does not know what its predecessor transferred"
    )
    cluster.state.down = False
    cluster.run(3.0)
    assert cluster.north.gpus == 4.0


def test_transferred_share_is_not_used_while_the_write_is_pending() -> None:
    # A write may be executed at any time after it was sent: if the giver still used the share, both
    # cells together would exceed the limit.
    cluster = Shares()
    cluster.run(3.0)
    cluster.south.needed = Amount(10.0, 6.0)
    cluster.until(lambda: bool(cluster.row().wants))
    cluster.state.lost_fraction, cluster.state.lost_delay_s = 1.0, (20.0, 20.0)
    cluster.run(2.0)
    # The write got no reply, and is executed only after 20 s.
    assert cluster.row().get_share("north").gpus == 4.0
    assert cluster.north.gpus < 4.0
    cluster.state.lost_fraction = 0.0
    cluster.run(4.0)
    assert cluster.south.gpus > 5.5, "it was written again"
    given = cluster.row()
    cluster.run(25.0)
    assert cluster.row().get_share("south").gpus == given.get_share("south").gpus, (
        "the late copy had no effect"
    )


def test_freed_share_is_not_used_while_the_write_of_its_transfer_is_pending() -> None:
    # Another cell requested it earlier: only the usage here has changed, not the row.
    cluster = Shares()
    cluster.run(3.0)
    cluster.north.used = Amount(20.0, 4.0)
    cluster.south.needed = Amount(20.0, 8.0)
    cluster.run(4.0)
    assert cluster.row().wants["south"].gpus == 4.0
    assert cluster.north.gpus == 4.0
    cluster.state.lost_fraction, cluster.state.lost_delay_s = 1.0, (20.0, 20.0)
    cluster.north.used = ZERO
    cluster.run(2.5)
    assert cluster.row().get_share("north").gpus == 4.0
    assert cluster.north.gpus < 1.0


def test_leader_transfers_nothing_that_its_cell_uses_or_needs() -> None:
    # A cell that gave away what it needs would request it again at once.
    cluster = Shares()
    cluster.run(3.0)
    cluster.north.used, cluster.north.needed = Amount(2.0, 2.0), Amount(1.0, 1.0)
    cluster.south.needed = Amount(20.0, 8.0)
    cluster.run(6.0)
    assert cluster.north.gpus >= 3.0
    assert cluster.south.gpus > 4.0


def test_former_leader_transfers_nothing_after_its_successor_has_claimed_the_cell() -> None:
    # The former leader doesn't know its successor's usage; the claim's version must fence it off.
    cluster = Shares()
    cluster.run(3.0)
    successor = Cell(cluster, "north", "10.0.0.3")
    successor.quota_rebalancer.begin_term(2)
    cluster.run(0.6)
    assert cluster.state.rows[CLAIM_KEY_PREFIX + "north"][0] == 2
    # The successor uses all of the share; the former leader knows neither and has a surplus.
    successor.used = Amount(20.0, 4.0)
    cluster.south.needed = Amount(20.0, 8.0)
    for _ in range(8):
        cluster.run(1.0)
        assert cluster.row().get_share("north").gpus == 4.0
        assert successor.gpus == 4.0


def test_transfer_computed_from_outdated_shares_is_rejected() -> None:
    # Without the guard on the row's version a share would be given twice.
    cluster = Shares()
    cluster.run(3.0)
    cluster.state.extra_delay_s = 0.3
    cluster.south.needed = Amount(20.0, 6.0)
    cluster.until(lambda: bool(cluster.row().wants))
    requested = cluster.row()
    # The giver has read the request and writes; the shares change before the write is executed.
    newer = TeamShares({"north": Amount(20.0, 1.0), "south": Amount(20.0, 7.0)}, requested.wants)
    cluster.until(lambda: cluster.north.gpus < 3.9)
    cluster.put(SHARE_KEY_PREFIX + "crew", msgspec.to_builtins(newer))
    for _ in range(400):
        run_for(cluster.sim, 0.01)
        assert cluster.row().total.is_within(get_team_limit(TEAM))
        assert cluster.row().get_share("north").gpus <= 1.0, "a transferred share came back"


def test_malformed_row_is_one_log_line_and_does_not_affect_other_teams(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # A row that can't be decoded is left for the operators and is not overwritten.
    other = Team("other crew", 0.0, 10.0, 0.0, 2.0)
    cluster = Shares(other)
    cluster.put(SHARE_KEY_PREFIX + "crew", {"of": "everything"})
    run_for(cluster.sim, 6.0)
    assert cluster.north.gpus < TOLERANCE
    damaged = [line for line in caplog.messages if "shares_damaged team=crew" in line]
    assert len(damaged) == 2, "one log line per leader"
    assert SHARE_KEY_PREFIX + "other%20crew" in cluster.state.rows
    assert cluster.state.rows[SHARE_KEY_PREFIX + "crew"][0] == {"of": "everything"}
    held = cluster.north.quota_rebalancer.find_team("other crew")
    assert held is not None
    assert held.cores_max == 5.0


def test_raised_limit_is_handed_out_to_the_cell_with_a_shortfall() -> None:
    # After a raise the shares sum to less than the limit, and the rest would stay unused.
    cluster = Shares()
    cluster.put(
        SHARE_KEY_PREFIX + "crew",
        {"of": {"north": [10.0, 2.0], "south": [10.0, 2.0]}, "wants": {}},
    )
    cluster.north.used = Amount(10.0, 2.0)
    cluster.south.used = Amount(10.0, 2.0)
    cluster.south.needed = Amount(15.0, 3.0)
    cluster.run(5.0)
    assert cluster.south.gpus == 5.0
    assert cluster.north.gpus == 2.0
    assert cluster.row().total == Amount(35.0, 7.0)
