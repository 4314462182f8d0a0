"""Cluster state, replay and snapshots, without a store."""

from __future__ import annotations

import itertools
import random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flaxtally.ledger.cluster_state import ClusterState
from flaxtally.ledger.records import InvalidRecordError
from flaxtally.ledger.snapshot import build_page_records

from .ledger_records import accepted, record, stored
from .simulated_cluster import batch, spec


def build_random_state(rng: random.Random, steps: int) -> tuple[ClusterState, list[list[object]]]:
    """Returns a state after random valid records, and those records."""
    state = ClusterState()
    records: list[list[object]] = []

    def apply(*items: object) -> None:
        state.apply(record(*items), 1)
        records.append(list(items))

    for step in range(steps):
        jobs = [job for job in state.jobs.values() if not job.is_terminal]
        action = rng.random()
        if not jobs or action < 0.2:
            job_spec = (
                batch(f"j-{step:06d}", rng.randint(1, 9))
                if rng.random() < 0.7
                else spec(f"j-{step:06d}", tasks=3)
            )
            apply("J", state.next_job_number, 1.0, *msgspec.to_builtins(job_spec))
            continue
        job = rng.choice(jobs)
        if action < 0.6 and job.pending_count:
            task = job.next_pending_task()
            apply(
                "P",
                job.number,
                task,
                job.attempts.get(task, 0) + 1,
                f"n-{rng.randint(0, 3):06d}",
                "a",
            )
        elif action < 0.95 and job.placements:
            placed = rng.choice(list(job.placements.values()))
            apply("E", job.number, placed.task, placed.attempt, rng.random() < 0.6)
        elif action >= 0.98:
            apply("C", job.number)
    return state, records


def contents(state: ClusterState) -> object:
    """Returns the contents of a state in a form that can be compared."""
    terminal = {ref: state.terminal_jobs.get(ref) for ref in state.terminal_jobs}
    jobs = {}
    for job in state.jobs.values():
        if job.is_terminal and not job.placements:
            terminal[job.spec.ref] = "aborted" if job.is_cancelled else "done"
            continue
        placed = {
            task: (placement.attempt, placement.machine, placement.zone)
            for task, placement in job.placements.items()
        }
        pending = {*job.retry_queue, *range(job.next_unstarted_task, job.spec.tasks)}
        jobs[job.spec.ref] = (job.spec, job.is_cancelled, job.done_tasks, placed, pending)
    usage = {
        team: (round(team_usage.cores, 6), round(team_usage.gpus, 6))
        for team, team_usage in state.usage_by_team.items()
        if team_usage.cores > 1e-9
    }
    return terminal, jobs, usage


def compaction_records(state: ClusterState) -> list[list[Any]]:
    """Returns the records that a compaction of the first page writes."""
    return [
        stored(each) for each in itertools.chain.from_iterable(build_page_records(state, 1, 2000))
    ]


@pytest.mark.real_processes
@given(st.integers(0, 10**6), st.integers(0, 120))
@settings(derandomize=True, max_examples=60)
def test_replay_and_snapshot_produce_the_same_state(seed: int, steps: int) -> None:
    # A new leader must read the state that the old one had, from the original records as well as
    # from those rewritten by a compaction.
    state, records = build_random_state(random.Random(seed), steps)
    replayed, rewritten = ClusterState(), ClusterState()
    for written in records:
        replayed.replay(written, 1)
    # The first page was compacted and deleted; the records written after it, before the snapshot,
    # still exist.
    for written in [*records[len(records) // 2 :], *compaction_records(state)]:
        rewritten.replay(written, 2)
    assert contents(replayed) == contents(state)
    assert contents(rewritten) == contents(state)
    attempts = {
        (job.spec.ref, task): attempt
        for job in state.jobs.values()
        if not job.is_terminal
        for task, attempt in job.attempts.items()
    }
    assert attempts == {
        (job.spec.ref, task): attempt
        for job in rewritten.jobs.values()
        if not job.is_terminal
        for task, attempt in job.attempts.items()
    }


def test_a_record_that_breaks_an_invariant_is_refused() -> None:
    # Guards against a leader that stores a contradiction: a second placement of a running task, the
    # end of an attempt that does not run, a second job with the same reference, a reused attempt
    # number, or a placement after a cancellation.
    state = ClusterState()
    state.apply(accepted(1, 0.0, batch("j-000001", 2)), 1)
    state.apply(record("P", 1, 0, 1, "n-1", "a"), 1)
    for refused in (
        ["P", 1, 0, 2, "n-2", "a"],
        ["E", 1, 0, 7, True],
        ["E", 1, 1, 1, True],
        ["J", 2, 0.0, *msgspec.to_builtins(batch("j-000001", 2))],
    ):
        with pytest.raises(InvalidRecordError):
            state.apply(record(*refused), 1)
    state.apply(record("E", 1, 0, 1, False), 1)
    with pytest.raises(InvalidRecordError):
        state.apply(record("P", 1, 0, 1, "n-2", "a"), 1)
    state.apply(record("C", 1), 1)
    with pytest.raises(InvalidRecordError):
        state.apply(record("P", 1, 0, 2, "n-2", "a"), 1)
