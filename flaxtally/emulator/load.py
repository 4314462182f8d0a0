"""What the emulated users submit: a function of the seed and the job's number alone.

Workers and users thus agree on every job without telling each other, and the same seed draws the
same load whatever the controllers do.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from ..protocol import wire
from .plan import BATCH_LANE, CORES_PER_TASK, RAM_PER_TASK, SERVICE_LANE, URGENT_LANE, Plan

if TYPE_CHECKING:
    from collections.abc import Iterator

REPLICAS = (2, 4, 8, 16)
MEAN_REPLICAS = sum(REPLICAS) / len(REPLICAS)
URGENT_TASKS = 4
URGENT_JOB_SHARE = 0.3
"""Of the jobs that arrive; they are small, so that most starts belong to batch jobs."""
SERVICE_IMAGES, BATCH_IMAGES = 16, 12
IMAGE_GB = (0.5, 2.0)
RUN_S = (5.0, 15.0)
MEAN_RUN_S = sum(RUN_S) / 2
GPU_JOB_SHARE = 0.13
"""Of services and batch jobs: 1.2 tasks with a GPU a machine that has 1.6 GPUs on average."""
BATCH_SPREAD = (0.2, 1.8)
"""The size of a batch job, by the mean."""
CANCELLED_SHARE = 0.02
CANCEL_AFTER_S = (1.0, 10.0)


class JobPlan(NamedTuple):
    """A job as its user has it in mind."""

    spec: wire.Spec
    run_s: float | None
    """How long its tasks run; None: until they are stopped."""
    cancel_after: float | None


def reference(number: int) -> str:
    """The id of a job."""
    return f"j-{number:06d}"


def number_of(ref: str) -> int:
    """The number of a job, or of a task's job."""
    return int(ref.partition("/")[0].removeprefix("j-"))


class Load:
    """The jobs of a plan: standing services first, then those that arrive."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._teams = [team.name for team in plan.teams]
        replicas = plan.workers * plan.tasks_per_worker * plan.service_share
        self.services = max(1, round(replicas / MEAN_REPLICAS))
        self._jobs: dict[int, JobPlan] = {}
        tasks_per_job = URGENT_JOB_SHARE * URGENT_TASKS + (1 - URGENT_JOB_SHARE) * plan.array_tasks
        self.arrivals_a_second = plan.workers * plan.starts_per_worker / tasks_per_job

    @property
    def service_replicas(self) -> int:
        """Standing replicas in all."""
        return sum(self.job(number).spec.tasks for number in range(1, self.services + 1))

    def arrivals(self) -> Iterator[tuple[float, int]]:
        """Seconds since the load began, and the job that comes then, without an end."""
        rng, at, number = random.Random(f"{self._plan.seed}/arrivals"), 0.0, self.services
        while True:
            at += rng.expovariate(self.arrivals_a_second)
            number += 1
            yield at, number

    def job(self, number: int) -> JobPlan:
        found = self._jobs.get(number)
        if found is None:
            found = self._jobs[number] = self._draw(number)
        return found

    def _draw(self, number: int) -> JobPlan:
        rng = random.Random(f"{self._plan.seed}/job/{number}")
        team = rng.choice(self._teams)
        gpus = 1.0 if rng.random() < GPU_JOB_SHARE else 0.0
        if number <= self.services:
            image = f"service-{rng.randrange(SERVICE_IMAGES)}"
            replicas = rng.choice(REPLICAS)
            spec = self._spec(
                number, SERVICE_LANE, team, wire.SERVICE, "high", replicas, gpus, image, rng
            )
            return JobPlan(spec, None, None)
        run_s = rng.uniform(*RUN_S)
        image = f"batch-{rng.randrange(BATCH_IMAGES)}"
        if rng.random() < URGENT_JOB_SHARE:
            spec = self._spec(
                number, URGENT_LANE, team, wire.ARRAY, "critical", URGENT_TASKS, 0.0, image, rng
            )
            return JobPlan(spec, run_s, None)
        tasks = max(1, round(self._plan.array_tasks * rng.uniform(*BATCH_SPREAD)))
        spec = self._spec(number, BATCH_LANE, team, wire.ARRAY, "standard", tasks, gpus, image, rng)
        cancelled = rng.random() < CANCELLED_SHARE
        return JobPlan(spec, run_s, rng.uniform(*CANCEL_AFTER_S) if cancelled else None)

    @staticmethod
    def _spec(
        number: int,
        job_class: str,
        team: str,
        kind: str,
        rank: str,
        tasks: int,
        gpus: float,
        image: str,
        rng: random.Random,
    ) -> wire.Spec:
        service = kind == wire.SERVICE
        size = random.Random(image).uniform(*IMAGE_GB)
        return wire.Spec(
            reference(number),
            job_class,
            team,
            kind,
            rank,
            tasks,
            CORES_PER_TASK,
            gpus,
            RAM_PER_TASK,
            image,
            size,
            machine_types=None,
            zone=None,
            one_zone=False,
            spread=service,
            spot=not service,
            estimated_run_s=0.0 if service else MEAN_RUN_S * rng.uniform(0.7, 1.4),
            checkpoint_interval_s=0.0,
            checkpoint_save_s=0.0,
            deadline=None,
        )
