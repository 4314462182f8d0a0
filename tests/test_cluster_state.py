"""Cluster state, replay and snapshots by themselves."""

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


def fill_book(rng: random.Random, steps: int) -> tuple[ClusterState, list[list[object]]]:
    """A book after random proper records, and those records."""
    book = ClusterState()
    records: list[list[object]] = []

    def apply(*items: object) -> None:
        book.apply(record(*items), 1)
        records.append(list(items))

    for step in range(steps):
        jobs = [job for job in book.jobs.values() if not job.is_terminal]
        action = rng.random()
        if not jobs or action < 0.2:
            made = (
                batch(f"j-{step:06d}", rng.randint(1, 9))
                if rng.random() < 0.7
                else spec(f"j-{step:06d}", tasks=3)
            )
            apply("J", book.next_job_number, 1.0, *msgspec.to_builtins(made))
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
    return book, records


def picture(book: ClusterState) -> object:
    """All that a book means, comparable."""
    finals = {ref: book.terminal_jobs.get(ref) for ref in book.terminal_jobs}
    jobs = {}
    for job in book.jobs.values():
        if job.is_terminal and not job.placements:
            finals[job.spec.ref] = "aborted" if job.is_cancelled else "done"
            continue
        placed = {task: (p.attempt, p.machine, p.zone) for task, p in job.placements.items()}
        waiting = {*job.retry_queue, *range(job.next_unstarted_task, job.spec.tasks)}
        jobs[job.spec.ref] = (job.spec, job.is_cancelled, job.done_tasks, placed, waiting)
    usage = {
        team: (round(use.cores, 6), round(use.gpus, 6))
        for team, use in book.usage_by_team.items()
        if use.cores > 1e-9
    }
    return finals, jobs, usage


def said_anew(book: ClusterState) -> list[list[Any]]:
    """The records by which the first page is cleaned."""
    return [
        stored(each) for each in itertools.chain.from_iterable(build_page_records(book, 1, 2000))
    ]


@pytest.mark.real_processes
@given(st.integers(0, 10**6), st.integers(0, 120))
@settings(derandomize=True, max_examples=60)
def test_replay_and_snapshot_mean_the_same(seed: int, steps: int) -> None:
    # What a takeover reads, whether first written or rewritten by cleaning, is what the leader
    # knew.
    book, records = fill_book(random.Random(seed), steps)
    replayed, rewritten = ClusterState(), ClusterState()
    for written in records:
        replayed.replay(written, 1)
    # The first page is cleaned and gone; what was written since, before the snapshot, is still
    # there.
    for written in [*records[len(records) // 2 :], *said_anew(book)]:
        rewritten.replay(written, 2)
    assert picture(replayed) == picture(book)
    assert picture(rewritten) == picture(book)
    attempts = {
        (job.spec.ref, task): attempt
        for job in book.jobs.values()
        if not job.is_terminal
        for task, attempt in job.attempts.items()
    }
    assert attempts == {
        (job.spec.ref, task): attempt
        for job in rewritten.jobs.values()
        if not job.is_terminal
        for task, attempt in job.attempts.items()
    }


def test_the_book_refuses_what_breaks_an_invariant() -> None:
    # A second placement, an attempt used twice, a placement after a cancellation, an end of
    # nothing.
    book = ClusterState()
    book.apply(accepted(1, 0.0, batch("j-000001", 2)), 1)
    book.apply(record("P", 1, 0, 1, "n-1", "a"), 1)
    for refused in (
        ["P", 1, 0, 2, "n-2", "a"],
        ["E", 1, 0, 7, True],
        ["E", 1, 1, 1, True],
        ["J", 2, 0.0, *msgspec.to_builtins(batch("j-000001", 2))],
    ):
        with pytest.raises(InvalidRecordError):
            book.apply(record(*refused), 1)
    book.apply(record("E", 1, 0, 1, False), 1)
    with pytest.raises(InvalidRecordError):
        book.apply(record("P", 1, 0, 1, "n-2", "a"), 1)
    book.apply(record("C", 1), 1)
    with pytest.raises(InvalidRecordError):
        book.apply(record("P", 1, 0, 2, "n-2", "a"), 1)
