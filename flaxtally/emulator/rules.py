"""Checks the protocol's rules from outside: by what workers run and what replies users get.

It knows nothing of the controllers' state. Broken rules are collected in `broken`; the caller that
records the events (the tests' simulated cluster, the emulator) ends its run if there are any.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..protocol import wire

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..settings import Team

FINAL_STAGES = (wire.DONE, wire.ABORTED)
MAX_UNANSWERED_S = 75.0
"""Without faults, the longest time without a successful reply about an accepted job."""
MAX_WAITING_S = 90.0
"""Without faults, the longest time that a job may wait while a machine has capacity for it."""
RESOURCE_TOLERANCE = 1e-6
"""Absolute tolerance for sums of cores and GPUs."""


class _Job:
    """What the user knows of a job, and the state of its tasks."""

    def __init__(self, spec: wire.Spec | None) -> None:
        self.spec = spec
        self.submitted = self.accepted = self.is_cancel_requested = False
        self.final_stage: str | None = None
        """The first final stage that was reported to the user; None: none yet."""
        self.final_stage_at = self.accepted_at = float("inf")
        self.done: set[str] = set()
        """Tasks that ended successfully."""
        self.task_zones: dict[str, str] = {}
        """The zone of each task that is on a machine."""
        self.last_reply_at = 0.0
        self.waiting_since: float | None = None
        """Since when a task could start on a machine and none did; None: no task could."""


def _exceeds_limit(team: Team, cores: float, gpus: float) -> bool:
    """Returns whether that usage is above the team's limit."""
    return bool(
        (team.cores_max and cores > team.cores_max) or (team.gpus_max and gpus > team.gpus_max)
    )


def may_run_on(spec: wire.Spec, machine: wire.ListedMachine, zones: list[str]) -> bool:
    """Returns whether one more task may run on the machine, given the zones of the job's others."""
    return (
        (spec.machine_types is None or machine.machine_type in spec.machine_types)
        and spec.zone in (None, machine.zone)
        and (spec.spot or not machine.spot)
        and not (spec.one_zone and any(zone != machine.zone for zone in zones))
        and not (spec.spread and zones.count(machine.zone) + 1 > (spec.tasks + 1) // 2)
    )


class Rules:
    """Owns the view from outside: which tasks run where, and which replies users got."""

    def __init__(
        self, teams: dict[str, Team], types: Iterable[wire.MachineType], cancel_s: float
    ) -> None:
        self.teams, self.types, self.cancel_s = teams, {kind.name: kind for kind in types}, cancel_s
        self.jobs: dict[str, _Job] = {}
        self.placements: dict[str, tuple[wire.ListedMachine, int]] = {}
        """The machine and attempt of each task that is on a machine, also while the machine hangs
        or can't be reached.
        """
        self._newest_attempts: dict[str, int] = {}
        """The highest attempt of each task that was started."""
        self.usage_by_team: dict[str, list[float]] = {}
        """Cores and GPUs that each team uses."""
        self.broken: list[str] = []
        self.reordered_replies = 0
        """The number of replies with an older stage than an earlier reply. This is allowed if the
        request was sent before that earlier reply arrived.
        """

    def record_violation(self, rule: str, details: str, at: float) -> None:
        self.broken.append(f"{at:.2f} {rule}: {details}")

    def job(self, ref: str) -> _Job:
        return self.jobs.setdefault(ref, _Job(None))

    # Machines

    def record_start(
        self, task: str, attempt: int, machine: wire.ListedMachine, now: float
    ) -> None:
        job = self.job(task.partition("/")[0])
        spec = job.spec
        if task in self.placements:
            self.record_violation(
                "ran_twice",
                f"{task} on {self.placements[task][0].machine} and {machine.machine}",
                now,
            )
        newest_attempt = self._newest_attempts.get(task, 0)
        if attempt < newest_attempt:
            self.record_violation(
                "started_outdated", f"{task} attempt {attempt} after attempt {newest_attempt}", now
            )
        self._newest_attempts[task] = max(attempt, newest_attempt)
        if job.final_stage == wire.ABORTED:
            self.record_violation(
                "started_cancelled", f"{task}, its user was told at {job.final_stage_at:.2f}", now
            )
        if spec is None:
            self.record_violation("nobody_asked", task, now)
            return
        if not may_run_on(spec, machine, list(job.task_zones.values())):
            self.record_violation(
                "wrong_place",
                f"{task} on {machine.machine_type} {machine.zone} spot={machine.spot}",
                now,
            )
        job.waiting_since = None
        self.placements[task] = machine, attempt
        job.task_zones[task] = machine.zone
        used = self.usage_by_team.setdefault(spec.team, [0.0, 0.0])
        used[0] += spec.cores
        used[1] += spec.gpus
        if _exceeds_limit(
            self.teams[spec.team], used[0] - RESOURCE_TOLERANCE, used[1] - RESOURCE_TOLERANCE
        ):
            self.record_violation("quota", f"{spec.team} uses {used}", now)

    def record_end(self, task: str, attempt: int, machine: str, done: bool) -> None:
        placement = self.placements.get(task)
        if placement is None or (placement[0].machine, placement[1]) != (machine, attempt):
            return
        del self.placements[task]
        job = self.job(task.partition("/")[0])
        del job.task_zones[task]
        assert job.spec is not None
        self.usage_by_team[job.spec.team][0] -= job.spec.cores
        self.usage_by_team[job.spec.team][1] -= job.spec.gpus
        if done:
            job.done.add(task)

    # Users

    def record_submission(self, spec: wire.Spec) -> None:
        job = self.job(spec.ref)
        job.spec, job.submitted = job.spec or spec, True

    def record_cancel_request(self, ref: str) -> None:
        self.job(ref).is_cancel_requested = True

    def record_reply(
        self, operation: str, ref: str, asked_at: float, now: float, status: int, body: Any
    ) -> None:
        """Records a reply as it reached its user. `operation`: submit, poll or cancel."""
        job = self.job(ref)
        if status in (200, 201):
            job.last_reply_at = now
            if not job.submitted:
                self.record_violation("invented", f"{operation} of {ref}", now)
                return
            if body["ref"] != ref:
                self.record_violation(
                    "wrong_job", f"{operation} of {ref} is answered about {body['ref']}", now
                )
                return
            self._check_reply_stage(job, ref, asked_at, now, body["stage"])
            if operation == "submit" and not job.accepted:
                job.accepted, job.accepted_at = True, now
                why = self._find_rejection_reason(job.spec)
                if why:
                    self.record_violation("accepted", f"{ref}: {why}", now)
        elif asked_at >= job.accepted_at and (
            status == 404 or (operation == "submit" and status in (400, 422))
        ):
            self.record_violation("forgotten", f"{operation} of {ref} answered {status}", now)

    def _check_reply_stage(
        self, job: _Job, ref: str, asked_at: float, now: float, stage: str
    ) -> None:
        assert job.spec is not None
        if job.final_stage is not None and stage != job.final_stage:
            if asked_at >= job.final_stage_at or stage in FINAL_STAGES:
                self.record_violation(
                    "went_back", f"{ref} was {job.final_stage}, then {stage}", now
                )
            else:
                self.reordered_replies += 1
        if stage == wire.ABORTED and not job.is_cancel_requested:
            self.record_violation(
                "went_back", f"{ref} is called cancelled, and its user did not ask", now
            )
        if stage == wire.DONE and (
            job.spec.job_kind == wire.SERVICE or len(job.done) < job.spec.tasks
        ):
            self.record_violation(
                "not_done", f"{ref} with {len(job.done)} of {job.spec.tasks}", now
            )
        if stage in FINAL_STAGES and job.final_stage is None:
            job.final_stage, job.final_stage_at = stage, now

    def _find_rejection_reason(self, spec: wire.Spec | None) -> str | None:
        if spec is None:
            return "lacks a field"
        team = self.teams.get(spec.team)
        if team is None:
            return "unknown team"
        count = 1 if spec.job_kind == wire.ARRAY else spec.tasks
        if _exceeds_limit(team, spec.cores * count, spec.gpus * count):
            return "beyond its team's limit"
        fits = any(
            kind.cores >= spec.cores
            and kind.gpus >= spec.gpus
            and kind.memory_gb >= spec.memory_gb
            and (spec.machine_types is None or kind.name in spec.machine_types)
            and (spec.zone is None or spec.zone in kind.zones)
            for kind in self.types.values()
        )
        return None if fits else "fits no machine"

    # Rules that are broken by the passing of time

    def check_deadlines(self, now: float) -> None:
        """Checks that no task still runs `cancel_s` after its job was reported as cancelled."""
        for task, (machine, _) in self.placements.items():
            job = self.job(task.partition("/")[0])
            if job.final_stage == wire.ABORTED and now > job.final_stage_at + self.cancel_s:
                self.record_violation(
                    "ran_cancelled",
                    f"{task} on {machine.machine}, told at {job.final_stage_at:.2f}",
                    now,
                )

    def check_after_faults(
        self,
        now: float,
        faults_ended_at: float,
        machines: list[tuple[wire.ListedMachine, set[str]]],
    ) -> None:
        """Checks, after the last fault, that requests are answered and no job waits without reason.

        `machines`: the machines that are up, each with its tasks, including those that still fetch
        an image.
        """
        held = {task for _, tasks in machines for task in tasks}
        free_by_machine = [
            (machine, self._compute_free_resources(machine, tasks)) for machine, tasks in machines
        ]
        for ref, job in self.jobs.items():
            spec = job.spec
            if not job.accepted or spec is None or job.final_stage is not None:
                continue
            if now - max(job.last_reply_at, faults_ended_at) > MAX_UNANSWERED_S:
                self.record_violation("forgotten", f"no question about {ref} is answered", now)
            tasks = {f"{ref}/{number}" for number in range(spec.tasks)} - job.done - held
            if job.is_cancel_requested or not tasks or not self._could_start(spec, free_by_machine):
                job.waiting_since = None
            elif job.waiting_since is None:
                job.waiting_since = now
            elif now - max(job.waiting_since, faults_ended_at) > MAX_WAITING_S:
                # No task of the job started in that time, although a machine always had capacity.
                self.record_violation("left_waiting", f"{ref} while a machine fits", now)

    def _compute_free_resources(
        self, machine: wire.ListedMachine, tasks: set[str]
    ) -> tuple[float, float, float]:
        kind, specs = (
            self.types[machine.machine_type],
            [self.job(task.partition("/")[0]).spec for task in tasks],
        )
        return (
            kind.cores - sum(spec.cores for spec in specs if spec),
            kind.gpus - sum(spec.gpus for spec in specs if spec),
            kind.memory_gb - sum(spec.memory_gb for spec in specs if spec),
        )

    def _could_start(
        self,
        spec: wire.Spec,
        free_by_machine: list[tuple[wire.ListedMachine, tuple[float, float, float]]],
    ) -> bool:
        team, used = self.teams[spec.team], self.usage_by_team.get(spec.team, [0.0, 0.0])
        if _exceeds_limit(team, used[0] + spec.cores, used[1] + spec.gpus):
            return False
        zones = list(self.job(spec.ref).task_zones.values())
        return any(
            free[0] >= spec.cores
            and free[1] >= spec.gpus
            and free[2] >= spec.memory_gb
            and may_run_on(spec, machine, zones)
            for machine, free in free_by_machine
        )
