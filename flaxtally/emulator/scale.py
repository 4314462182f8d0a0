"""`emulate scale`: runs one fleet size after the other and reports what was saturated first."""

from __future__ import annotations

import re
import sys
from typing import TYPE_CHECKING

import msgspec

from ..runtime.loop import Loop
from . import limits
from .coordinator import Coordinator
from .fit import MIN_SIZES, Fit, fit, format_table
from .plan import BATCH_CLASS, CONTROLLER, URGENT_CLASS, Plan
from .results import Analysis, Percentiles, PhaseResult, ProcessUse, SizeResult, evaluate_aims

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

LOOP_BEHIND_PATTERN = re.compile(r"event=loop_behind .*late=([0-9.]+)")
"""Matches a controller's log line about a late timer; the group is the delay in seconds."""
RESULTS_FILE = "results.json"
MAX_RULES_SHOWN = 5
"""Broken rules that are printed per size; results.json has all of them."""
TARGET_WORKERS = 20_000
"""The fleet size that the operators expect; figures are extrapolated to it."""


class ScaleResult(msgspec.Struct):
    """The results of a scale run."""

    sizes: list[SizeResult]
    fits: list[Fit]

    @property
    def rules_broken(self) -> bool:
        return any(size.rules_broken for size in self.sizes)


def print_progress(text: str) -> None:
    """Prints a line about the progress to standard error."""
    print(text, file=sys.stderr, flush=True)


def run(plans: Sequence[Plan], folder: Path) -> ScaleResult:
    """Runs all plans; checks the limits of all of them before the first begins.

    Raises `limits.LimitError` or `processes.ProcessEndedError`. A broken rule ends the run.
    """
    for plan in plans:
        limits.check(plan)
    result = ScaleResult([], [])
    for plan in plans:
        result.sizes.append(run_size(plan, folder / f"workers-{plan.workers}"))
        result.fits = fit_steady_phases(result.sizes)
        save(result, folder / RESULTS_FILE)
        if result.rules_broken:
            break
    return result


def save(result: ScaleResult, path: Path) -> None:
    """Writes the results as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result)) + b"\n")


def combine(folders: Sequence[Path]) -> ScaleResult:
    """Combines the results of several runs, ordered by size; computes aims and lines again."""
    result = ScaleResult([], [])
    for folder in folders:
        content = (folder / RESULTS_FILE).read_bytes()
        result.sizes += msgspec.json.decode(content, type=ScaleResult).sizes
    result.sizes.sort(key=lambda size: (size.plan.cells, size.plan.workers))
    for size in result.sizes:
        evaluate_aims(size)
    result.fits = fit_steady_phases(result.sizes)
    return result


def run_size(plan: Plan, folder: Path) -> SizeResult:
    """Runs one size, from the start of its processes to their end; returns its results."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.log"):
        old.unlink()
    coordinator = Coordinator(Loop(), plan, folder, print_progress)
    recording = coordinator.run()
    print_progress(f"{plan.workers} workers: {len(recording.history.events)} events are checked")
    broken = recording.history.check()
    analysis = Analysis(plan, recording, coordinator.processes)
    return analysis.result(broken, read_loop_delays(plan, folder))


def read_loop_delays(plan: Plan, folder: Path) -> dict[str, float]:
    """Returns the largest timer delay, in seconds, of each controller that logged one."""
    found: dict[str, float] = {}
    for name in plan.nodes:
        text = (folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")
        late = [float(match.group(1)) for match in LOOP_BEHIND_PATTERN.finditer(text)]
        if late:
            found[name] = max(late)
    return found


def _compute_followers_mean(phase: PhaseResult, figure: Callable[[ProcessUse], float]) -> float:
    """Returns the mean of a figure over the controllers that don't lead."""
    uses = [
        use
        for name, use in phase.processes.items()
        if name.startswith(CONTROLLER) and name not in phase.leaders
    ]
    return sum(figure(use) for use in uses) / max(1, len(uses))


def _compute_leaders_max(phase: PhaseResult, figure: Callable[[ProcessUse], float]) -> float:
    """Returns the highest value of a figure among the cells' leaders."""
    uses = [phase.processes[name] for name in phase.leaders if name in phase.processes]
    return max((figure(use) for use in uses), default=0.0)


FIGURES: dict[str, Callable[[PhaseResult], float]] = {
    "leader, processor (cores)": lambda phase: _compute_leaders_max(
        phase, lambda use: use.processor_mean
    ),
    "leader, processor peak (cores)": lambda phase: _compute_leaders_max(
        phase, lambda use: use.processor_peak
    ),
    "leader, memory (MB)": lambda phase: _compute_leaders_max(phase, lambda use: use.memory_mb),
    "follower, processor (cores)": lambda phase: _compute_followers_mean(
        phase, lambda use: use.processor_mean
    ),
    "follower, memory (MB)": lambda phase: _compute_followers_mean(
        phase, lambda use: use.memory_mb
    ),
    "reports a second": lambda phase: phase.reports_per_s,
    "bytes a worker and second": lambda phase: phase.bytes_per_worker_s,
    "state service, changes a second": lambda phase: phase.state_changes_per_s,
    "state service, requests a second": lambda phase: phase.state_requests_per_s,
    "questions of users a second": lambda phase: phase.polls_per_s,
    "starts a second": lambda phase: phase.starts_per_s,
    "running tasks": lambda phase: phase.running_tasks,
}
"""Figures of the steady phase, by name; a line over the sizes is fitted through each."""


def fit_steady_phases(sizes: Sequence[SizeResult]) -> list[Fit]:
    """Fits lines through the steady phases of the sizes that met the aims.

    Leaves out sizes with several cells. Returns none if fewer than `MIN_SIZES` sizes remain.
    At a size that missed an aim, a figure shows what the machine could deliver, not what the size
    needs.
    """
    steady = [
        size.phases[0]
        for size in sizes
        if size.phases and not size.missed_aims and size.plan.cells == 1
    ]
    if len(steady) < MIN_SIZES:
        return []
    workers = [phase.workers for phase in steady]
    return [
        fit(name, workers, [figure(phase) for phase in steady], TARGET_WORKERS)
        for name, figure in FIGURES.items()
    ]


def _format_delay(phase: PhaseResult, job_class: str) -> str:
    delay = phase.start_delay.get(job_class, Percentiles())
    return f"{delay.median:.2f}/{delay.p95:.2f}" if delay.count else "-"


def format_report(result: ScaleResult) -> list[str]:
    """Formats the results as lines of text."""
    lines = [
        f"{'workers':>7} {'phase':10} {'tasks':>6} {'starts/s':>8} {'asked/s':>8} "
        f"{'urgent p50/p95':>14} {'batch p50/p95':>14} {'report p99':>10} {'submit p99':>10} "
        f"{'changes/s':>9} {'leader cpu':>10} {'peak':>5} {'MB':>5} {'B/worker/s':>10}"
    ]
    for size in result.sizes:
        for phase in size.phases:
            lines.append(
                f"{phase.workers:7.0f} {phase.name:10} {phase.running_tasks:6.0f} "
                f"{phase.starts_per_s:8.1f} {phase.submitted_tasks / phase.seconds:8.1f} "
                f"{_format_delay(phase, URGENT_CLASS):>14} {_format_delay(phase, BATCH_CLASS):>14} "
                f"{phase.report_answer.p99:10.3f} {phase.submission.p99:10.3f} "
                f"{phase.state_changes_per_s:9.1f} "
                f"{_compute_leaders_max(phase, lambda use: use.processor_mean):10.2f} "
                f"{_compute_leaders_max(phase, lambda use: use.processor_peak):5.2f} "
                f"{_compute_leaders_max(phase, lambda use: use.memory_mb):5.0f} "
                f"{phase.bytes_per_worker_s:10.0f}"
            )
        lines += _format_remarks(size)
    if result.fits:
        lines += ["", "lines through the steady phases (not the bench's figures):"]
        lines += format_table(result.fits)
    return lines


def _format_remarks(size: SizeResult) -> list[str]:
    """Formats the lines that follow the figures of a size."""
    warm = "not reached" if size.warm_up_s is None else f"{size.warm_up_s:.0f} s"
    taken = "not seen" if size.takeover_s is None else f"{size.takeover_s:.1f} s"
    lines = [f"        warm-up {warm}; first job accepted after the leader's end {taken}"]
    if size.missed_aims:
        lines.append(f"        missed: {'; '.join(size.missed_aims)}")
        lines.append(f"        saturated: {size.saturated}")
    if size.loop_behind_s:
        behind = ", ".join(f"{name} {late:.2f} s" for name, late in size.loop_behind_s.items())
        lines.append(f"        timers late: {behind}")
    if size.emulator_late_s:
        lines.append(f"        the emulator itself was late by {size.emulator_late_s:.2f} s")
    if len(size.rules_broken) > MAX_RULES_SHOWN:
        lines.append(f"        {len(size.rules_broken)} rules broken, the first {MAX_RULES_SHOWN}:")
    for rule in size.rules_broken[:MAX_RULES_SHOWN]:
        lines += [f"        RULE BROKEN: {rule[0]}", *(f"        {line}" for line in rule[1:])]
    return lines
