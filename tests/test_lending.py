"""Lending without faults: provisioning before reclaims, accounts, the operators' page, errors."""

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
from flaxtally.ledger.reclaims import BorrowedAttempt, LoanAccount, Reclaim
from flaxtally.ledger.snapshot import build_page_records
from flaxtally.lending.entitlement import ReclaimBudget
from flaxtally.lending.page import LoansPage, format_page
from flaxtally.protocol import wire
from flaxtally.settings import Objective, Team

from .ledger_records import record, stored
from .scenarios import change_leader
from .simulated_cluster import CANCEL_DEADLINE_S, TYPES, SimulatedCluster, spec
from .simulated_lending import (
    CREW_TEAM,
    OTHERS_TEAM,
    RECLAIM_DEADLINE_S,
    SimulatedLendingCluster,
    gpu_array,
    run_until,
    start_cluster_with_loans,
)

if TYPE_CHECKING:
    from pathlib import Path


def get_loans(cluster: SimulatedCluster, node: str) -> tuple[int, Any]:
    replies: list[tuple[int, Any]] = []
    cluster.call(node, "GET", wire.LOANS, None, lambda status, body: replies.append((status, body)))
    run_until(cluster, lambda: bool(replies), 5)
    return replies[0]


# What is reclaimed, and what is provisioned


def test_a_lender_gets_back_its_quota_and_no_more() -> None:
    # The lender asks for more than its quota: only the part within the quota may be reclaimed.
    cluster = start_cluster_with_loans()
    cluster.submit(gpu_array("j-000200", 12), run_time=30.0)
    run_until(cluster, lambda: cluster.count("j-000200") == 8, RECLAIM_DEADLINE_S)
    cluster.run(10.0)
    assert cluster.count("j-000200") == 8, "the rest is beyond its quota"
    assert cluster.count_stops("j-000100") == 8
    # The preempted tasks saved a checkpoint: they continue, and the team borrows again.
    cluster.cancel("j-000200")
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 20)


def test_nothing_is_reclaimed_while_a_machine_can_be_provisioned_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A reclaim stops tasks for nothing if a new machine is up within the recall time of 12.5 s.
    # Here the machine type boots in 4 s.
    quickly_booting = [
        msgspec.structs.replace(machine_type, boot_s=4.0) if machine_type.gpus else machine_type
        for machine_type in TYPES
    ]
    monkeypatch.setattr("tests.simulated_cluster.TYPES", quickly_booting)
    cluster = SimulatedLendingCluster(1, capacity=2)
    cluster.submit(gpu_array("j-000100", 16, "others", zone="a"), run_time=300.0)
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 60)
    cluster.run(5.0)
    cluster.submit(gpu_array("j-000200", 8, zone="b"), run_time=30.0)
    run_until(cluster, lambda: cluster.count("j-000200") == 8, RECLAIM_DEADLINE_S + 5.0)
    assert cluster.count_stops("j-000100") == 0
    assert not cluster.seen_reclaims


def test_no_victims_are_searched_among_teams_that_borrow_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With scarce capacity and all teams within their quotas, each search tried every task of every
    # team, and scheduling passes took eight times as long.
    cluster = SimulatedLendingCluster(
        1, teams=(CREW_TEAM, Team("others", 0.0, 0.0, 16.0, 64.0)), max_shortfall_s=0.0
    )
    cluster.submit(gpu_array("j-000100", 16, "others"), run_time=300.0)
    run_until(cluster, lambda: cluster.count("j-000100") == 16, 60)
    attempts = []
    monkeypatch.setattr(ReclaimBudget, "try_take", lambda *arguments: attempts.append(arguments))
    cluster.submit(gpu_array("j-000200", 8), run_time=30.0)
    cluster.run(RECLAIM_DEADLINE_S)
    assert not attempts
    assert cluster.count("j-000100") == 16


def test_replicas_are_preempted_last_and_never_for_a_lower_rank() -> None:
    # The demand's victims must be arrays as far as a machine has them, then replicas, but never
    # replicas of a higher rank than the demand.
    cluster = SimulatedLendingCluster(3)
    replica = {"team": "others", "gpus": 1.0, "cores": 3.0, "memory_gb": 16.0, "spread": False}
    cluster.submit(spec("j-000150", tasks=4, rank="standard", **replica))
    cluster.submit(spec("j-000160", tasks=4, rank="critical", **replica))
    run_until(cluster, lambda: cluster.count("j-000150") + cluster.count("j-000160") == 8, 60)
    cluster.submit(gpu_array("j-000100", 8, "others"), run_time=300.0)
    run_until(cluster, lambda: cluster.count("j-000100") == 8, 30)
    cluster.run(5.0)
    cluster.submit(gpu_array("j-000200", 8), run_time=300.0)
    run_until(cluster, lambda: cluster.count("j-000200") == 8, RECLAIM_DEADLINE_S)
    assert cluster.count_stops("j-000100") + cluster.count_stops("j-000150") == 8
    assert cluster.count_stops("j-000100") >= 4, "arrays go first, as far as a machine has them"
    assert cluster.count_stops("j-000160") == 0


# Accounts and the page


def test_any_controller_serves_the_page_of_loans_also_after_a_change_of_leader() -> None:
    # The accounts must survive a change of leader, up to the interval at which they are stored.
    cluster = start_cluster_with_loans()
    cluster.run(70.0)
    for node in cluster.names:
        status, body = get_loans(cluster, node)
        assert status == 200
        page = msgspec.convert(body, LoansPage)
        teams = {row.team: row for row in page.teams}
        assert teams["others"].borrows[1] == teams["crew"].lends[1] == 8.0
        assert teams["others"].borrowed_gpu_s > 8 * 60.0
        assert [(row.lender, row.borrower, row.gpus) for row in page.loans] == [
            ("crew", "others", 8.0)
        ]
    borrows_since = teams["others"].borrows_since
    borrowed_gpu_s_before = teams["others"].borrowed_gpu_s
    change_leader(cluster)
    cluster.run(5.0)
    page = msgspec.convert(get_loans(cluster, cluster.names[0])[1], LoansPage)
    after = next(row for row in page.teams if row.team == "others")
    assert after.borrows_since == pytest.approx(borrows_since, abs=0.1)
    # What was added since the accounts were last stored is lost with the leader: a minute at most.
    assert borrowed_gpu_s_before - 8 * 62.0 < after.borrowed_gpu_s
    assert "others owes crew: 8 GPUs" in format_page(page)


def test_reclaims_are_on_the_page_and_in_the_log(caplog: pytest.LogCaptureFixture) -> None:
    # Operators follow a reclaim by its id, from its start to its end.
    caplog.set_level(logging.INFO, logger="flaxtally.leader.reclaim.quota_reclaim")
    cluster = start_cluster_with_loans()
    cluster.submit(gpu_array("j-000200", 2), run_time=30.0)
    run_until(cluster, lambda: len(cluster.read_reclaims()) == 2, 5)
    page = msgspec.convert(get_loans(cluster, cluster.names[1])[1], LoansPage)
    assert {row.job for row in page.recalls} <= {"j-000200"}
    run_until(cluster, lambda: cluster.count("j-000200") == 2, RECLAIM_DEADLINE_S)
    page = msgspec.convert(get_loans(cluster, cluster.names[1])[1], LoansPage)
    assert next(row for row in page.teams if row.team == "crew").recalls_met == 2
    for number in (1, 2):
        lines = [entry.getMessage() for entry in caplog.records]
        events = [line.split()[0] for line in lines if f"recall_{number:06d}" in line]
        assert events == ["event=reclaim_started", "event=reclaim_ended"]


def test_without_the_feature_there_is_no_page_and_no_new_format() -> None:
    # Records of loans need format 3: without lending, older controllers must still read the ledger.
    cluster = SimulatedCluster()
    cluster.run(10.0)
    assert get_loans(cluster, cluster.names[0])[0] == 404
    assert all(node.leader.state.format < 3 for node in cluster.nodes.values())


def test_open_reclaims_and_accounts_survive_the_compaction_of_their_pages() -> None:
    # Compaction must keep open reclaims, accounts and the next number, and drop what is finished.
    state = ClusterState()
    reclaim = Reclaim(
        4, "crew", 1, "n-1", 10.0, 20.0, 1, (BorrowedAttempt(2, 0, 1), BorrowedAttempt(2, 1, 1))
    )
    account = LoanAccount("crew", 5.0, 1.0, 2.0, 3.0, 4.0, 5, 6)
    state.apply(Reclaim(3, "crew", 1, "n-2", 1.0, 2.0, 1, ()).to_record(), 1)
    for entry in (reclaim.to_record(), account.to_record(), record("X", 3)):
        state.apply(entry, 1)
    restored = ClusterState()
    for group in build_page_records(state, 1, 4096):
        for entry in group:
            restored.replay(stored(entry), 2)
    assert restored.loan_state.reclaims == {4: reclaim}
    assert restored.loan_state.accounts == {"crew": account}
    assert restored.loan_state.next_number == 5
    assert build_page_records(restored, 2, 4096) == build_page_records(state, 1, 4096)


# Invalid configuration


def write_settings(folder: Path, objectives: tuple[Objective, ...] = ()) -> str:
    cluster = SimulatedCluster(
        team=CREW_TEAM, other_teams=(Team("guests", 0.0, 0.0, 0.0, 0.0),), objectives=objectives
    )
    path = folder / "node.toml"
    path.write_text(settings_text(cluster.build_settings("hearth-0")))
    return str(path)


@pytest.mark.parametrize(
    ("table", "expected"),
    [
        (
            'lenders = ["guests"]',
            "lending.lenders: guests is not a team with a guarantee in the settings",
        ),
        (
            'lenders = ["nobody"]',
            "lending.lenders: nobody is not a team with a guarantee in the settings",
        ),
        ('lenders = "crew"', "lending.lenders: expected a list of strings, got 'crew'"),
        ("stops_a_minute = -1", "lending.stops_a_minute: -1 is not within"),
        ("accounts_every_s = 0", "lending.accounts_every_s: 0 is not within"),
        ("recall = 3", "lending.recall: unknown field, expected one of: lenders"),
    ],
)
def test_an_invalid_table_gives_a_one_line_error(
    table: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # An invalid table must not be ignored: `check` and `serve` end with the place and the reason.
    features = tmp_path / "features.toml"
    features.write_text(f"[lending]\n{table}\n")
    for command in ("check", "serve"):
        assert (
            main([command, "--config", write_settings(tmp_path), "--features", str(features)]) == 2
        )
        captured = capsys.readouterr()
        assert captured.out == ""
        assert expected in captured.err
        assert len(captured.err.splitlines()) == 1


def test_a_recall_time_longer_than_an_objective_and_cells_are_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Lending can't keep guarantees across cells, nor an objective that is shorter than the recall
    # time; objectives shorter than a lease are met by other means.
    features = tmp_path / "features.toml"
    features.write_text("[lending]\n")
    options = ["--features", str(features)]
    objectives = (Objective("wait", "gate", 11.0, 0.9), Objective("wait", "quick", 1.0, 0.9))
    assert main(["check", "--config", write_settings(tmp_path, objectives[1:]), *options]) == 0
    assert main(["check", "--config", write_settings(tmp_path, objectives), *options]) == 2
    captured = capsys.readouterr().err
    assert "recall of 12.5 s is longer than the objective of gate to start within 11 s" in captured
    cells = tmp_path / "cells.toml"
    cells.write_text('[cells]\nversion = 1\n[[cells.cell]]\nname = "one"\nzones = ["a", "b"]\n')
    arguments = ["check", "--config", write_settings(tmp_path), *options, "--cells", str(cells)]
    assert main(arguments) == 2


# The audit itself


def test_the_audit_finds_an_unmet_guarantee_and_an_unjustified_reclaim() -> None:
    # Guards the other tests against an audit that reports nothing.
    teams = {team.name: team for team in (CREW_TEAM, OTHERS_TEAM)}
    rules = Rules(teams, TYPES, CANCEL_DEADLINE_S)
    audit = LoanAudit(rules, teams, 10.0)
    machine = wire.ListedMachine("n-1", "g8", "a", False, "running", 1.0)
    for job in (gpu_array("j-000100", 12, "others"), gpu_array("j-000200", 4)):
        rules.record_submission(job)
        rules.job(job.ref).accepted = True
    for task in range(12):
        rules.record_start(f"j-000100/{task}", 1, machine, 0.0)
    for now in range(20):
        audit.check_deadlines(float(now), [machine])
    assert audit.breaches == ["11.00 crew is below its guarantee for 11.0 s"]
    assert audit.longest_shortfall_s == {"crew": 19.0}
    # The victim is within its team's guarantee, and its capacity goes to another team.
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
    # An invalid address must end with an error, and rows that don't fit must be counted.
    assert main(["loans", "--to", "nowhere"]) == 2
    assert "not HOST:PORT" in capsys.readouterr().err
    page = LoansPage(1, [], [], [], left_out=3)
    assert format_page(page).splitlines()[-1] == "(3 rows left out)"
    assert json.loads(msgspec.json.encode(page))["left_out"] == 3
