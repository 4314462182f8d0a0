"""Computes figures from a recording: delays, rates, resource usage, and what was saturated."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import psutil
from ddsketch import DDSketch

from .link import ENVIRONMENT, USERS, WORKERS
from .messages import POLL_REPLY, SUBMIT_REPLY
from .plan import URGENT_CLASS, URGENT_START_AIM_S, Plan
from .users import SUBMISSION
from .workers import REPORT_REPLY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .coordinator import Phase, Recording
    from .history import BrokenRule
    from .processes import Processes

RELATIVE_ERROR = 0.01
"""The largest relative error of a percentile."""
REPORT_REPLY_AIM_S, SUBMISSION_AIM_S, MIN_STARTED_FRACTION = 4.0, 5.0, 0.9
"""Aims of the steady phase: PROTOCOL's time limits for replies to workers and to users, and the
fraction of the submitted tasks that must start.
"""
SATURATION_FRACTION = 0.7
"""A resource is reported as saturated if at least this fraction of its capacity is used; of a
process's processor time the peak counts.
"""
PEAK_WINDOW_S = 5.0
"""A processor's peak is the highest mean over windows of at least this length."""


class Percentiles(msgspec.Struct):
    """Percentiles of delays, in seconds, with a relative error of 1 %."""

    count: int = 0
    median: float = 0.0
    p95: float = 0.0
    p99: float = 0.0
    largest: float = 0.0


class ProcessUse(msgspec.Struct):
    """Resources that a process used in a phase."""

    processor_mean: float
    """Mean processor time per second, in cores."""
    processor_peak: float
    """The highest mean over a window of a few seconds, in cores."""
    memory_mb: float
    """The highest resident memory, in MB."""
    files: int
    """The highest number of open files."""


class PhaseResult(msgspec.Struct):
    """The figures of one phase. Rates are per second."""

    name: str
    seconds: float
    workers: float
    running_tasks: float
    submitted_tasks: int
    starts_per_s: float
    start_delay: dict[str, Percentiles]
    """Delays from the first attempt to submit a job to the start of each task, by job class."""
    submission: Percentiles
    report_answer: Percentiles
    reports_per_s: float
    bytes_per_worker_s: float
    """Payload bytes per worker of heartbeats and their replies, without the overhead of TCP/IP."""
    state_requests_per_s: float
    state_changes_per_s: float
    state_limited_per_s: float
    polls_per_s: float
    polls_unanswered_per_s: float
    longest_without_answer_s: float
    """The longest time without a successful reply to a submission or poll."""
    processes: dict[str, ProcessUse]
    shared_changes_per_s: float
    """Changes in the state service that all cells share."""
    shared_requests_per_s: float
    leaders: list[str]
    """The leaders, one per cell: at the beginning, or after the takeover in the disturbed phase."""
    machine_processor: float
    """Processor use of all processes, as a fraction of the machine's cores."""


class SizeResult(msgspec.Struct):
    """The results of one size of a scale run."""

    plan: Plan
    warm_up_s: float | None
    phases: list[PhaseResult]
    takeover_s: float | None
    """Seconds from the leader's kill to the first job that its successor accepted, which shows that
    it can commit.
    """
    ledger_pages: float
    loop_behind_s: dict[str, float]
    """The largest timer delay of each controller that logged one, in seconds."""
    emulator_late_s: float
    """The largest timer delay of the emulator's own processes."""
    missed_aims: list[str]
    saturated: str
    rules_broken: list[list[str]]


def compute_percentiles(values: Iterable[float]) -> Percentiles:
    """Computes percentiles from a histogram with a bounded relative error."""
    sketch = DDSketch(RELATIVE_ERROR)
    largest = 0.0
    for value in values:
        sketch.add(value)
        largest = max(largest, value)
    if not sketch.count:
        return Percentiles()

    def quantile(fraction: float) -> float:
        found = sketch.get_quantile_value(fraction)
        return round(found or 0.0, 4)

    return Percentiles(
        int(sketch.count), quantile(0.5), quantile(0.95), quantile(0.99), round(largest, 4)
    )


class Analysis:
    """Computes the results of one size from its recording."""

    def __init__(self, plan: Plan, recording: Recording, processes: Processes) -> None:
        self._plan, self._recording, self._processes = plan, recording, processes

    def result(self, broken: list[BrokenRule], loop_behind: dict[str, float]) -> SizeResult:
        """Returns the figures of the whole run.

        `broken`: the broken rules; `loop_behind`: the largest timer delay of each controller.
        """
        recording = self._recording
        phases = [self._analyse_phase(phase) for phase in recording.phases]
        environment_counters = recording.counters.get(f"{ENVIRONMENT}-0", [])
        result = SizeResult(
            plan=self._plan,
            warm_up_s=recording.warm_up_s,
            phases=phases,
            takeover_s=self._compute_takeover_s(),
            ledger_pages=environment_counters[-1].totals["ledger_pages"]
            if environment_counters
            else 0.0,
            loop_behind_s=loop_behind,
            emulator_late_s=recording.max_timer_delay_s,
            missed_aims=[],
            saturated="",
            rules_broken=[rule.format_lines() for rule in broken],
        )
        evaluate_aims(result)
        return result

    def _compute_takeover_s(self) -> float | None:
        killed_at, taken_over_at = self._recording.leader_killed_at, self._recording.taken_over_at
        if killed_at is None or taken_over_at is None:
            return None
        accepted = self._recording.history.find_first_acceptance(taken_over_at)
        return None if accepted is None else round(accepted - killed_at, 2)

    # A phase

    def _compute_total(self, role: str, counter: str, at: float) -> float:
        """Returns the sum of a counter over all child processes of a role, at a time."""
        total = 0.0
        for name, counters in self._recording.counters.items():
            if name.startswith(role):
                before = [entry for entry in counters if entry.at <= at]
                total += before[-1].totals[counter] if before else 0.0
        return total

    def _compute_rate(self, role: str, counter: str, phase: Phase) -> float:
        increase = self._compute_total(role, counter, phase.ends_at) - self._compute_total(
            role, counter, phase.begins_at
        )
        return round(increase / (phase.ends_at - phase.begins_at), 3)

    def _compute_sampled(self, name: str, phase: Phase) -> Percentiles:
        pieces = self._recording.samples.get(name, [])
        inside = (values for at, values in pieces if phase.begins_at <= at < phase.ends_at)
        return compute_percentiles(value for values in inside for value in values)

    def _analyse_phase(self, phase: Phase) -> PhaseResult:
        history, length_s = self._recording.history, phase.ends_at - phase.begins_at
        delays = history.compute_start_delays(phase.begins_at, phase.ends_at)
        workers = self._compute_total(WORKERS, "workers", phase.ends_at)
        bytes_per_s = self._compute_rate(WORKERS, "bytes_sent", phase)
        bytes_per_s += self._compute_rate(WORKERS, "bytes_received", phase)
        uses = {name: self._compute_process_use(name, phase) for name in self._processes.names()}
        cores = sum(use.processor_mean for use in uses.values() if use is not None)
        return PhaseResult(
            name=phase.name,
            seconds=round(length_s, 1),
            workers=workers,
            running_tasks=self._compute_total(WORKERS, "running", phase.ends_at),
            submitted_tasks=history.count_submitted_tasks(phase.begins_at, phase.ends_at),
            starts_per_s=round(history.count_starts(phase.begins_at, phase.ends_at) / length_s, 2),
            start_delay={
                job_class: compute_percentiles(values) for job_class, values in delays.items()
            },
            submission=self._compute_sampled(SUBMISSION, phase),
            report_answer=self._compute_sampled(REPORT_REPLY, phase),
            reports_per_s=self._compute_rate(WORKERS, "reports", phase),
            bytes_per_worker_s=round(bytes_per_s / max(1.0, workers), 1),
            state_requests_per_s=self._compute_rate(ENVIRONMENT, "state_requests", phase),
            state_changes_per_s=self._compute_rate(ENVIRONMENT, "state_changes", phase),
            state_limited_per_s=self._compute_rate(ENVIRONMENT, "state_limited", phase),
            polls_per_s=self._compute_rate(USERS, "asked", phase),
            polls_unanswered_per_s=self._compute_rate(USERS, "polls_unanswered", phase),
            longest_without_answer_s=round(
                history.compute_longest_gap_s(
                    (SUBMIT_REPLY, POLL_REPLY), phase.begins_at, phase.ends_at
                ),
                2,
            ),
            processes={name: use for name, use in uses.items() if use is not None},
            shared_changes_per_s=self._compute_rate(ENVIRONMENT, "shared_changes", phase),
            shared_requests_per_s=self._compute_rate(ENVIRONMENT, "shared_requests", phase),
            leaders=self._recording.leaders.get(phase.name, []),
            machine_processor=round(cores / (psutil.cpu_count() or 1), 3),
        )

    def _compute_process_use(self, name: str, phase: Phase) -> ProcessUse | None:
        usages = [
            usage
            for usage in self._processes[name].usages
            if phase.begins_at <= usage.at <= phase.ends_at
        ]
        if len(usages) < 2:
            return None
        window_means = []
        for first in usages:
            later = [usage for usage in usages if usage.at - first.at >= PEAK_WINDOW_S]
            if later:
                used = later[0].processor_s - first.processor_s
                window_means.append(used / (later[0].at - first.at))
        mean = (usages[-1].processor_s - usages[0].processor_s) / (usages[-1].at - usages[0].at)
        memory = max(usage.memory_bytes for usage in usages) / 2**20
        return ProcessUse(
            round(mean, 4),
            round(max([*window_means, mean]), 4),
            round(memory, 1),
            max(usage.files for usage in usages),
        )


# Missed aims and the saturated resource


def evaluate_aims(size: SizeResult) -> None:
    """Sets the aims that the steady phase missed and, if any, the saturated resource."""
    if not size.phases:
        size.missed_aims, size.saturated = ["the steady phase was not reached"], "unknown"
        return
    size.missed_aims = find_missed_aims(size)
    size.saturated = (
        find_saturated_resource(size.plan, size.phases[0]) if size.missed_aims else "nothing"
    )


def find_missed_aims(size: SizeResult) -> list[str]:
    """Returns the aims that the steady phase missed, as texts."""
    plan, phase, missed = size.plan, size.phases[0], []
    if size.warm_up_s is None:
        missed.append(f"standing replicas ran not within {plan.warm_up:g} s")
    urgent = phase.start_delay.get(URGENT_CLASS, Percentiles())
    if urgent.p95 > URGENT_START_AIM_S:
        missed.append(f"urgent starts: p95 {urgent.p95:.1f} s, aim {URGENT_START_AIM_S:g} s")
    if phase.report_answer.p99 > REPORT_REPLY_AIM_S:
        missed.append(f"report answers: p99 {phase.report_answer.p99:.1f} s")
    if phase.submission.p99 > SUBMISSION_AIM_S:
        missed.append(f"submissions: p99 {phase.submission.p99:.1f} s")
    submitted_per_s = phase.submitted_tasks / phase.seconds
    # With few jobs the load varies: if more tasks run than intended, the machines are full, and
    # missing starts are no fault of the controllers.
    is_fleet_full = phase.running_tasks >= plan.tasks_per_worker * phase.workers
    if phase.starts_per_s < MIN_STARTED_FRACTION * submitted_per_s and not is_fleet_full:
        missed.append(f"starts: {phase.starts_per_s:.0f} of {submitted_per_s:.0f} a second")
    return missed


def find_saturated_resource(plan: Plan, phase: PhaseResult) -> str:
    """Returns the most used resource, and says whether it counts as saturated."""
    used = {
        "state services, changes": phase.state_changes_per_s / plan.cells / plan.state_write_rps,
        "state services, requests": phase.state_requests_per_s / plan.cells / plan.state_rps,
        "shared state service, changes": phase.shared_changes_per_s / plan.state_write_rps,
        "shared state service, requests": phase.shared_requests_per_s / plan.state_rps,
        "all cores of this machine": phase.machine_processor,
    }
    for name, use in phase.processes.items():
        role = "leader" if name in phase.leaders else name
        used[f"processor of {role}, peak"] = use.processor_peak
    name = max(used, key=lambda resource: used[resource])
    if used[name] >= SATURATION_FRACTION:
        return f"{name} ({used[name]:.0%})"
    return f"none measured is full; most used: {name} ({used[name]:.0%})"
