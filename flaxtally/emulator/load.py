"""The jobs that the emulated users submit: a function of the seed and the job's number alone.

Workers and users therefore agree on every job without exchanging messages, and a seed always gives
the same load, whatever the controllers do.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from ..protocol import wire
from .plan import BATCH_CLASS, CORES_PER_TASK, RAM_GB_PER_TASK, SERVICE_CLASS, URGENT_CLASS, Plan

if TYPE_CHECKING:
    from collections.abc import Iterator

REPLICA_COUNTS = (2, 4, 8, 16)
"""Numbers of replicas of a service, drawn with equal probability."""
MEAN_REPLICAS = sum(REPLICA_COUNTS) / len(REPLICA_COUNTS)
TASKS_PER_URGENT_JOB = 4
URGENT_JOB_FRACTION = 0.3
"""Fraction of urgent jobs among those that arrive; most starts still belong to batch jobs, because
urgent jobs are small.
"""
SERVICE_IMAGE_COUNT, BATCH_IMAGE_COUNT = 16, 12
IMAGE_SIZE_RANGE_GB = (0.5, 2.0)
RUN_TIME_RANGE_S = (5.0, 15.0)
MEAN_RUN_TIME_S = sum(RUN_TIME_RANGE_S) / 2
GPU_JOB_FRACTION = 0.13
"""Fraction of services and batch jobs whose tasks use a GPU: it gives 1.2 such tasks per machine,
which has 1.6 GPUs on average.
"""
BATCH_SIZE_RATIO_RANGE = (0.2, 1.8)
"""Range of a batch job's task count, as a ratio to the mean."""
CANCELLED_JOB_FRACTION = 0.02
"""Fraction of batch jobs that their user cancels."""
CANCEL_DELAY_RANGE_S = (1.0, 10.0)
"""Seconds from the acceptance of a job to its cancellation."""


class JobPlan(NamedTuple):
    """A job's submission and what happens to it afterwards."""

    spec: wire.Spec
    run_s: float | None
    """How long its tasks run; None: until they are stopped."""
    cancel_after_s: float | None
    """Seconds from its acceptance to its cancellation; None: it is not cancelled."""


def format_ref(number: int) -> str:
    """Formats the id of a job."""
    return f"j-{number:06d}"


def parse_job_number(ref: str) -> int:
    """Parses the number of a job from its id or from the id of one of its tasks."""
    return int(ref.partition("/")[0].removeprefix("j-"))


class Load:
    """The jobs of a plan: first the services, then the jobs that arrive during the run."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._teams = [team.name for team in plan.teams]
        replicas = plan.workers * plan.tasks_per_worker * plan.service_share
        self.service_count = max(1, round(replicas / MEAN_REPLICAS))
        self._jobs: dict[int, JobPlan] = {}
        tasks_per_job = (
            URGENT_JOB_FRACTION * TASKS_PER_URGENT_JOB
            + (1 - URGENT_JOB_FRACTION) * plan.array_tasks
        )
        self.arrivals_per_s = plan.workers * plan.starts_per_worker / tasks_per_job

    @property
    def service_replica_count(self) -> int:
        """The number of replicas of all services."""
        return sum(self.job(number).spec.tasks for number in range(1, self.service_count + 1))

    def generate_arrivals(self) -> Iterator[tuple[float, int]]:
        """Yields, without end, each arrival: seconds since the load began, and the job's number."""
        rng, at, number = random.Random(f"{self._plan.seed}/arrivals"), 0.0, self.service_count
        while True:
            at += rng.expovariate(self.arrivals_per_s)
            number += 1
            yield at, number

    def job(self, number: int) -> JobPlan:
        job = self._jobs.get(number)
        if job is None:
            job = self._jobs[number] = self._draw_job(number)
        return job

    def _draw_job(self, number: int) -> JobPlan:
        rng = random.Random(f"{self._plan.seed}/job/{number}")
        team = rng.choice(self._teams)
        gpus = 1.0 if rng.random() < GPU_JOB_FRACTION else 0.0
        if number <= self.service_count:
            image = f"service-{rng.randrange(SERVICE_IMAGE_COUNT)}"
            replicas = rng.choice(REPLICA_COUNTS)
            spec = self._build_spec(
                number, SERVICE_CLASS, team, wire.SERVICE, "high", replicas, gpus, image, rng
            )
            return JobPlan(spec, None, None)
        run_s = rng.uniform(*RUN_TIME_RANGE_S)
        image = f"batch-{rng.randrange(BATCH_IMAGE_COUNT)}"
        if rng.random() < URGENT_JOB_FRACTION:
            spec = self._build_spec(
                number,
                URGENT_CLASS,
                team,
                wire.ARRAY,
                "critical",
                TASKS_PER_URGENT_JOB,
                0.0,
                image,
                rng,
            )
            return JobPlan(spec, run_s, None)
        tasks = max(1, round(self._plan.array_tasks * rng.uniform(*BATCH_SIZE_RATIO_RANGE)))
        spec = self._build_spec(
            number, BATCH_CLASS, team, wire.ARRAY, "standard", tasks, gpus, image, rng
        )
        cancelled = rng.random() < CANCELLED_JOB_FRACTION
        return JobPlan(spec, run_s, rng.uniform(*CANCEL_DELAY_RANGE_S) if cancelled else None)

    @staticmethod
    def _build_spec(
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
        is_service = kind == wire.SERVICE
        image_gb = random.Random(image).uniform(*IMAGE_SIZE_RANGE_GB)
        return wire.Spec(
            format_ref(number),
            job_class,
            team,
            kind,
            rank,
            tasks,
            CORES_PER_TASK,
            gpus,
            RAM_GB_PER_TASK,
            image,
            image_gb,
            machine_types=None,
            zone=None,
            one_zone=False,
            spread=is_service,
            spot=not is_service,
            estimated_run_s=0.0 if is_service else MEAN_RUN_TIME_S * rng.uniform(0.7, 1.4),
            checkpoint_interval_s=0.0,
            checkpoint_save_s=0.0,
            deadline=None,
        )
