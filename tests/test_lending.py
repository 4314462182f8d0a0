"""Loans in an undisturbed fleet: renting first, accounts, the operators' page, what is refused."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from flaxtally.cli import main
from flaxtally.emulator.loan_audit import LoanAudit
from flaxtally.emulator.rules import Rules
from flaxtally.fakes.settings_text import settings_text
from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.ledger.reclaims import Borrowed, LoanAccount, Reclaim
from flaxtally.ledger.snapshot import page_records
from flaxtally.lending.entitlement import Reclaimable
from flaxtally.lending.page import LoansPage, format_page
from flaxtally.protocol import wire
from flaxtally.settings import Objective, Team

from .ledger_records import record, stored
from .scenarios import change_leader
from .simulated_cluster import CANCEL_S, TYPES, SimulatedCluster, spec
from .simulated_lending import (
    CREW,
    OTHERS,
    RECALL_S,
    SimulatedLendingCluster,
    borrowed_world,
    until,
    work,
)

if TYPE_CHECKING:
    from pathlib import Path


def ask(world: SimulatedCluster, node: str) -> tuple[int, Any]:
    answers: list[tuple[int, Any]] = []
    world.call(node, "GET", wire.LOANS, None, lambda status, body: answers.append((status, body)))
    until(world, lambda: bool(answers), 5)
    return answers[0]


# What is recalled, and what is rented


def test_a_lender_gets_its_room_back_and_no_more() -> None:
    world = borrowed_world()
    world.submit(work("j-000200", 12), run_time=30.0)
    until(world, lambda: world.count("j-000200") == 8, RECALL_S)
    world.run(10.0)
    assert world.count("j-000200") == 8, "the rest is beyond its guarantee"
    assert world.stops_of("j-000100") == 8
    # Who gave way saved what it had: it goes on, and what is borrowed is borrowed again.
    world.cancel("j-000200")
    until(world, lambda: world.count("j-000100") == 16, 20)


def test_what_can_be_rented_in_time_is_not_taken_from_anybody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A machine boots within 12.5 s here: its type takes 4 s.
    quick = [msgspec.structs.replace(kind, boot_s=4.0) if kind.gpus else kind for kind in TYPES]
    monkeypatch.setattr("tests.simulated_cluster.TYPES", quick)
    world = SimulatedLendingCluster(1, capacity=2)
    world.submit(work("j-000100", 16, "others", zone="a"), run_time=300.0)
    until(world, lambda: world.count("j-000100") == 16, 60)
    world.run(5.0)
    world.submit(work("j-000200", 8, zone="b"), run_time=30.0)
    until(world, lambda: world.count("j-000200") == 8, RECALL_S + 5.0)
    assert world.stops_of("j-000100") == 0
    assert not world.seen


def test_nothing_is_looked_for_among_teams_that_borrow_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Found on a scarce day on which all teams were within their guarantees: each search tried every
    # task of every team, and passes took eight times as long.
    world = SimulatedLendingCluster(
        1, teams=(CREW, Team("others", 0.0, 0.0, 16.0, 64.0)), most_s=0.0
    )
    world.submit(work("j-000100", 16, "others"), run_time=300.0)
    until(world, lambda: world.count("j-000100") == 16, 60)
    tried = []
    monkeypatch.setattr(Reclaimable, "try_take", lambda *words: tried.append(words))
    world.submit(work("j-000200", 8), run_time=30.0)
    world.run(RECALL_S)
    assert not tried
    assert world.count("j-000100") == 16


def test_replicas_give_way_last_and_never_to_a_lower_rank() -> None:
    world = SimulatedLendingCluster(3)
    replica = {"team": "others", "gpus": 1.0, "cores": 3.0, "memory_gb": 16.0, "spread": False}
    world.submit(spec("j-000150", tasks=4, rank="standard", **replica))
    world.submit(spec("j-000160", tasks=4, rank="critical", **replica))
    until(world, lambda: world.count("j-000150") + world.count("j-000160") == 8, 60)
    world.submit(work("j-000100", 8, "others"), run_time=300.0)
    until(world, lambda: world.count("j-000100") == 8, 30)
    world.run(5.0)
    world.submit(work("j-000200", 8), run_time=300.0)
    until(world, lambda: world.count("j-000200") == 8, RECALL_S)
    assert world.stops_of("j-000100") + world.stops_of("j-000150") == 8
    assert world.stops_of("j-000100") >= 4, "arrays go first, as far as a machine has them"
    assert world.stops_of("j-000160") == 0


# Accounts and the page


def test_the_page_of_loans_from_any_controller_and_after_a_change_of_leader() -> None:
    world = borrowed_world()
    world.run(70.0)
    for node in world.names:
        status, body = ask(world, node)
        assert status == 200
        page = msgspec.convert(body, LoansPage)
        teams = {row.team: row for row in page.teams}
        assert teams["others"].borrows[1] == teams["crew"].lends[1] == 8.0
        assert teams["others"].borrowed_gpu_s > 8 * 60.0
        assert [(row.lender, row.borrower, row.gpus) for row in page.loans] == [
            ("crew", "others", 8.0)
        ]
    since = teams["others"].borrows_since
    owed = teams["others"].borrowed_gpu_s
    change_leader(world)
    world.run(5.0)
    page = msgspec.convert(ask(world, world.names[0])[1], LoansPage)
    after = next(row for row in page.teams if row.team == "others")
    assert after.borrows_since == pytest.approx(since, abs=0.1)
    # What came since the accounts were kept last is lost with the leader: a minute at the most.
    assert owed - 8 * 62.0 < after.borrowed_gpu_s
    assert "others owes crew: 8 GPUs" in format_page(page)


def test_recalls_are_on_the_page_and_in_the_log(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, logger="flaxtally.leader.reclaim.quota_reclaim")
    world = borrowed_world()
    world.submit(work("j-000200", 2), run_time=30.0)
    until(world, lambda: len(world.recalls()) == 2, 5)
    page = msgspec.convert(ask(world, world.names[1])[1], LoansPage)
    assert {row.job for row in page.recalls} <= {"j-000200"}
    until(world, lambda: world.count("j-000200") == 2, RECALL_S)
    page = msgspec.convert(ask(world, world.names[1])[1], LoansPage)
    assert next(row for row in page.teams if row.team == "crew").recalls_met == 2
    for number in (1, 2):
        lines = [record.getMessage() for record in caplog.records]
        said = [line.split()[0] for line in lines if f"recall_{number:06d}" in line]
        assert said == ["event=reclaim_started", "event=reclaim_ended"]


def test_without_the_feature_there_is_no_page_and_no_new_format() -> None:
    world = SimulatedCluster()
    world.run(10.0)
    assert ask(world, world.names[0])[0] == 404
    assert all(node.leader.state.format < 3 for node in world.nodes.values())


def test_open_recalls_and_accounts_outlive_the_cleaning_of_their_pages() -> None:
    book = ClusterState()
    recall = Reclaim(4, "crew", 1, "n-1", 10.0, 20.0, 1, (Borrowed(2, 0, 1), Borrowed(2, 1, 1)))
    account = LoanAccount("crew", 5.0, 1.0, 2.0, 3.0, 4.0, 5, 6)
    book.apply(Reclaim(3, "crew", 1, "n-2", 1.0, 2.0, 1, ()).record(), 1)
    for written in (recall.record(), account.record(), record("X", 3)):
        book.apply(written, 1)
    again = ClusterState()
    for group in page_records(book, 1, 4096):
        for written in group:
            again.replay(stored(written), 2)
    assert again.loan_state.reclaims == {4: recall}
    assert again.loan_state.accounts == {"crew": account}
    assert again.loan_state.next_number == 5
    assert page_records(again, 2, 4096) == page_records(book, 1, 4096)


# What is refused


def config(folder: Path, objectives: tuple[Objective, ...] = ()) -> str:
    world = SimulatedCluster(
        team=CREW, guests=(Team("guests", 0.0, 0.0, 0.0, 0.0),), objectives=objectives
    )
    path = folder / "node.toml"
    path.write_text(settings_text(world.settings_of("hearth-0")))
    return str(path)


@pytest.mark.parametrize(
    ("table", "said"),
    [
        ('lenders = ["guests"]', "lending.lenders: guests is no team with a guarantee"),
        ('lenders = ["nobody"]', "lending.lenders: nobody is no team with a guarantee"),
        ('lenders = "crew"', "lending.lenders: not a list of texts"),
        ("stops_a_minute = -1", "lending.stops_a_minute: -1 is not within"),
        ("accounts_every_s = 0", "lending.accounts_every_s: 0 is not within"),
        ("recall = 3", "lending.recall: not known; there are lenders"),
    ],
)
def test_a_faulty_table_is_one_line(
    table: str, said: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    features = tmp_path / "features.toml"
    features.write_text(f"[lending]\n{table}\n")
    for command in ("check", "serve"):
        assert main([command, "--config", config(tmp_path), "--features", str(features)]) == 2
        told = capsys.readouterr()
        assert told.out == ""
        assert said in told.err
        assert len(told.err.splitlines()) == 1


def test_a_recall_time_over_an_aim_and_cells_are_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    features = tmp_path / "features.toml"
    features.write_text("[lending]\n")
    usual = ["--features", str(features)]
    aims = (Objective("wait", "gate", 11.0, 0.9), Objective("wait", "quick", 1.0, 0.9))
    assert main(["check", "--config", config(tmp_path, aims[1:]), *usual]) == 0
    assert main(["check", "--config", config(tmp_path, aims), *usual]) == 2
    told = capsys.readouterr().err
    assert "recall of 12.5 s is over the aim of gate to start within 11 s" in told
    cells = tmp_path / "cells.toml"
    cells.write_text('[cells]\nversion = 1\n[[cells.cell]]\nname = "one"\nzones = ["a", "b"]\n')
    words = ["check", "--config", config(tmp_path), *usual, "--cells", str(cells)]
    assert main(words) == 2


# The audit itself


def test_the_audit_sees_a_guarantee_that_is_not_met_and_who_was_wronged() -> None:
    teams = {team.name: team for team in (CREW, OTHERS)}
    rules = Rules(teams, TYPES, CANCEL_S)
    audit = LoanAudit(rules, teams, 10.0)
    machine = wire.Listed("n-1", "g8", "a", False, "running", 1.0)
    for job in (work("j-000100", 12, "others"), work("j-000200", 4)):
        rules.record_submission(job)
        rules.job(job.ref).accepted = True
    for task in range(12):
        rules.record_start(f"j-000100/{task}", 1, machine, 0.0)
    for now in range(20):
        audit.check_deadlines(float(now), [machine])
    assert audit.breaches == ["11.00 crew is below its guarantee for 11.0 s"]
    assert audit.longest_shortfall_s == {"crew": 19.0}
    # Within its own guarantee, and its room goes to another team.
    for task in range(4, 12):
        audit.record_upcoming_end(f"j-000100/{task}", 21.0)
        rules.record_end(f"j-000100/{task}", 1, "n-1", True)
    audit.record_upcoming_end("j-000100/3", 40.0)
    rules.record_end("j-000100/3", 1, "n-1", False)
    audit.record_stop("j-000100/3", "n-1", 40.0)
    rules.record_start("j-000200/0", 1, machine, 41.0)
    audit.record_start("j-000200/0", "n-1", 41.0)
    assert "reclaimed below the guarantee of others" in audit.breaches[1]


def test_the_command_prints_the_page(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["loans", "--to", "nowhere"]) == 2
    assert "not HOST:PORT" in capsys.readouterr().err
    page = LoansPage(1, [], [], [], left_out=3)
    assert format_page(page).splitlines()[-1] == "(3 rows left out)"
    assert json.loads(msgspec.json.encode(page))["left_out"] == 3
