"""A team's limit divided among cells: the arithmetic, and the leaders that move shares."""

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
from .test_sockets import play

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
def test_whatever_is_moved_shares_stay_whole(moves: list[tuple[str, str, float, float]]) -> None:
    shares = build_equal_shares(TEAM, CELLS)
    for giver, taker, cores, gpus in moves:
        before = shares
        try:
            shares = shares.with_transfer(giver, taker, Amount(cores, gpus))
        except ShareError:
            assert giver == taker or not Amount(cores, gpus).is_within(before.share(giver))
        shares.check(get_team_limit(TEAM))
        assert shares.total.cores == pytest.approx(40.0, abs=1e-3)
        assert shares.total.gpus == pytest.approx(8.0, abs=1e-3)


def test_shares_above_the_limit_and_below_nothing_are_refused() -> None:
    with pytest.raises(ShareError, match="above the limit"):
        TeamShares({"north": Amount(30.0, 4.0), "south": Amount(11.0, 4.0)}).check(
            get_team_limit(TEAM)
        )
    with pytest.raises(ShareError, match=r"cell south: share \(-1\.0, 4\.0\) is negative"):
        TeamShares({"north": Amount(30.0, 4.0), "south": Amount(-1.0, 4.0)}).check(
            get_team_limit(TEAM)
        )


def test_a_cell_sees_its_share_as_the_teams_limit_and_as_large_a_part_of_the_guarantee() -> None:
    shares = TeamShares({"north": Amount(10.0, 0.0), "south": Amount(30.0, 8.0)})
    north = limit_team_to_share(TEAM, shares, shares.share("north"))
    assert (north.cores, north.cores_max, north.gpus) == (2.5, 10.0, 0.0)
    # 0 would mean that there is no limit.
    assert 0 < north.gpus_max < TOLERANCE
    free = Team("free", 1.0, 0.0, 0.0, 0.0)
    assert limit_team_to_share(free, TeamShares({}), ZERO) == free


def test_shares_shrink_with_a_limit_that_was_lowered() -> None:
    shares = build_equal_shares(TEAM, ["north", "south"])
    lower = Team("crew", 10.0, 20.0, 4.0, 8.0)
    assert limit_team_to_share(lower, shares, shares.share("north")).cores_max == 10.0


# Leaders


class Cell:
    """A leader's allotment, with a use and a demand that the test sets."""

    def __init__(self, world: Shares, cell: str, host: str) -> None:
        self.used, self.needed = ZERO, ZERO
        runtime = world.sim.host(host)
        self.quota_rebalancer = QuotaRebalancer(
            runtime,
            KeyValueStore(runtime, STATE, 1.5, 0.5),
            cell,
            lambda: ["north", "south"],
            world.teams,
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
    """A state service and two cells' leaders."""

    def __init__(self, *more: Team) -> None:
        self.teams = {team.name: team for team in (TEAM, *more)}
        self.sim = Simulation(1)
        self.state = FakeKeyValueStore(self.sim.host(STATE[0]), STATE)
        self.north, self.south = Cell(self, "north", "10.0.0.1"), Cell(self, "south", "10.0.0.2")
        self.north.quota_rebalancer.begin_term(1)
        self.south.quota_rebalancer.begin_term(1)

    def run(self, seconds: float) -> None:
        """Plays; at every moment what both may use is within the limit."""
        for _ in range(round(seconds / 0.01)):
            play(self.sim, 0.01)
            assert self.north.gpus + self.south.gpus <= TEAM.gpus_max + TOLERANCE
            assert self.row().total.is_within(get_team_limit(TEAM))

    def until(self, condition: Callable[[], bool], most: float = 10.0) -> None:
        """Plays until it holds; it must within that time."""
        end = self.sim.time + most
        while not condition():
            assert self.sim.time < end, "it never came to that"
            play(self.sim, 0.01)

    def row(self) -> TeamShares:
        stored = self.state.rows.get(SHARE_KEY_PREFIX + "crew")
        return TeamShares({}) if stored is None else msgspec.convert(stored[0], TeamShares)

    def put(self, key: str, value: object) -> None:
        txn = wire.Transaction.build({}, {key: value}, [])
        assert self.state.transact(txn)[0] == 200


def test_nothing_may_be_used_before_the_claim_and_a_read_after_it() -> None:
    world = Shares()
    assert world.north.gpus < TOLERANCE
    world.run(3.0)
    assert world.north.gpus == 4.0
    world.state.down = True
    world.north.quota_rebalancer.begin_term(2)
    world.run(3.0)
    assert world.north.gpus < TOLERANCE, "a new term knows nothing of what its predecessor gave"
    world.state.down = False
    world.run(3.0)
    assert world.north.gpus == 4.0


def test_a_share_that_is_given_is_not_used_while_the_gift_is_under_way() -> None:
    world = Shares()
    world.run(3.0)
    world.south.needed = Amount(10.0, 6.0)
    world.until(lambda: bool(world.row().wants))
    world.state.lost_share, world.state.lost_delay = 1.0, (20.0, 20.0)
    world.run(2.0)
    # Written, unanswered, and carried out only in twenty seconds.
    assert world.row().share("north").gpus == 4.0
    assert world.north.gpus < 4.0
    world.state.lost_share = 0.0
    world.run(4.0)
    assert world.south.gpus > 5.5, "it was written again"
    given = world.row()
    world.run(25.0)
    assert world.row().share("south").gpus == given.share("south").gpus, "the late copy did nothing"


def test_a_share_that_becomes_free_is_not_used_while_its_gift_is_under_way() -> None:
    # Another cell has long wanted it: the row is as it was read, only the use here has changed.
    world = Shares()
    world.run(3.0)
    world.north.used = Amount(20.0, 4.0)
    world.south.needed = Amount(20.0, 8.0)
    world.run(4.0)
    assert world.row().wants["south"].gpus == 4.0
    assert world.north.gpus == 4.0
    world.state.lost_share, world.state.lost_delay = 1.0, (20.0, 20.0)
    world.north.used = ZERO
    world.run(2.5)
    assert world.row().share("north").gpus == 4.0
    assert world.north.gpus < 1.0


def test_a_leader_gives_nothing_that_it_uses_or_waits_for() -> None:
    world = Shares()
    world.run(3.0)
    world.north.used, world.north.needed = Amount(2.0, 2.0), Amount(1.0, 1.0)
    world.south.needed = Amount(20.0, 8.0)
    world.run(6.0)
    assert world.north.gpus >= 3.0
    assert world.south.gpus > 4.0


def test_a_former_leader_gives_nothing_once_its_successor_has_claimed_the_cell() -> None:
    world = Shares()
    world.run(3.0)
    successor = Cell(world, "north", "10.0.0.3")
    successor.quota_rebalancer.begin_term(2)
    world.run(0.6)
    assert world.state.rows[CLAIM_KEY_PREFIX + "north"][0] == 2
    # The successor uses all of it; the former one, who knows of neither, has room to give.
    successor.used = Amount(20.0, 4.0)
    world.south.needed = Amount(20.0, 8.0)
    for _ in range(8):
        world.run(1.0)
        assert world.row().share("north").gpus == 4.0
        assert successor.gpus == 4.0


def test_a_gift_that_was_reckoned_from_older_shares_fails() -> None:
    world = Shares()
    world.run(3.0)
    world.state.slow = 0.3
    world.south.needed = Amount(20.0, 6.0)
    world.until(lambda: bool(world.row().wants))
    asked = world.row()
    # The giver has read that and writes; before it is carried out the shares have changed.
    newer = TeamShares({"north": Amount(20.0, 1.0), "south": Amount(20.0, 7.0)}, asked.wants)
    world.until(lambda: world.north.gpus < 3.9)
    world.put(SHARE_KEY_PREFIX + "crew", msgspec.to_builtins(newer))
    for _ in range(400):
        play(world.sim, 0.01)
        assert world.row().total.is_within(get_team_limit(TEAM))
        assert world.row().share("north").gpus <= 1.0, "what was given came back"


def test_a_damaged_row_is_one_log_line_and_harms_no_other_team(
    caplog: pytest.LogCaptureFixture,
) -> None:
    other = Team("other crew", 0.0, 10.0, 0.0, 2.0)
    world = Shares(other)
    world.put(SHARE_KEY_PREFIX + "crew", {"of": "everything"})
    play(world.sim, 6.0)
    assert world.north.gpus < TOLERANCE
    damaged = [line for line in caplog.messages if "shares_damaged team=crew" in line]
    assert len(damaged) == 2, "one line a leader"
    assert SHARE_KEY_PREFIX + "other%20crew" in world.state.rows
    assert world.state.rows[SHARE_KEY_PREFIX + "crew"][0] == {"of": "everything"}
    held = world.north.quota_rebalancer.find_team("other crew")
    assert held is not None
    assert held.cores_max == 5.0


def test_what_a_raised_limit_adds_goes_to_who_lacks_it() -> None:
    world = Shares()
    world.put(
        SHARE_KEY_PREFIX + "crew",
        {"of": {"north": [10.0, 2.0], "south": [10.0, 2.0]}, "wants": {}},
    )
    world.north.used = Amount(10.0, 2.0)
    world.south.used = Amount(10.0, 2.0)
    world.south.needed = Amount(15.0, 3.0)
    world.run(5.0)
    assert world.south.gpus == 5.0
    assert world.north.gpus == 2.0
    assert world.row().total == Amount(35.0, 7.0)
