"""More work than room: a team's guarantee and another team's urgent array stop each other for ever."""

from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage-2"))

from stage import BROKEN, CPU_TYPE, HELD, NOT_RUN, Finished, Stage, submission, with_trouble  # noqa: E402

from flaxtally.protocol import wire  # noqa: E402
from flaxtally.settings import Team  # noqa: E402

URGENT, JOB, GATE = "j-000001", "j-000002", "j-000003"
URGENT_TASKS = 2
URGENT_RUN_S, RUN_S, SMALL_RUN_S = 20.0, 10.0, 1.0
WAIT_S = 90.0
"""Once the troubles are over, no job is left waiting for so long. Both need 30 s one after the
other.
"""


class Play:
    """An urgent array beyond its team's guarantee, and a job within the guarantee of its own."""

    def __init__(self) -> None:
        room = 1 if with_trouble() else 3
        capacity = {(CPU_TYPE.name, "a", False): room, (CPU_TYPE.name, "b", False): 1}
        teams = {
            "crew": Team("crew", 32.0, 64.0, 0.0, 0.0),
            "guest": Team("guest", 0.0, 64.0, 0.0, 0.0),
        }
        self.stage = Stage(HERE, teams, [CPU_TYPE], capacity, 117.0)
        self.step = 0
        self.small_jobs = 0
        self.next_small_at = 0.0

    def tick(self) -> None:
        stage = self.stage
        if self.step < 2 and stage.now > 25.0:
            raise Finished(NOT_RUN, "the jobs did not start in time")
        if self.step == 0 and stage.now > 1.5:
            stage.submit(
                submission(
                    URGENT, team="guest", job_class="urgent", job_kind=wire.ARRAY, rank="critical",
                    tasks=URGENT_TASKS, cores=6.0, zone="a", estimated_run_s=URGENT_RUN_S,
                ),
                URGENT_RUN_S,
            )  # fmt: skip
            self.step = 1
        elif self.step == 1 and len(stage.running(URGENT)) == URGENT_TASKS:
            stage.submit(
                submission(
                    JOB, job_class="batch", job_kind=wire.ARRAY, rank="high", cores=16.0, zone="a",
                    estimated_run_s=RUN_S,
                ),
                RUN_S,
            )  # fmt: skip
            self.step = 2
        elif self.step == 2 and JOB in stage.accepted_at and GATE not in stage.specs:
            # A small service, for which the machine has room all the time: 16 - 2 * 6 cores.
            stage.submit(submission(GATE, cores=1.0, zone="a"))
        elif self.step == 2:
            self.submit_small_job()
            self.watch()

    def submit_small_job(self) -> None:
        """Ordinary traffic: a short job each second, for the other zone."""
        stage = self.stage
        if stage.now >= self.next_small_at:
            self.next_small_at = stage.now + 1.0
            self.small_jobs += 1
            small = submission(
                f"j-1{self.small_jobs:05d}", job_class="small", job_kind=wire.ARRAY, cores=1.0,
                zone="b", estimated_run_s=SMALL_RUN_S,
            )  # fmt: skip
            stage.submit(small, SMALL_RUN_S, self.small_jobs)

    def watch(self) -> None:
        stage = self.stage
        urgent_done = sum(task.startswith(URGENT + "/") for task in stage.done_tasks)
        started = {task.partition("/")[0] for _, task, _ in stage.starts}
        if f"{JOB}/0" in stage.done_tasks and urgent_done == URGENT_TASKS and GATE in started:
            raise Finished(HELD, f"{URGENT} and {JOB} are done, {GATE} has started")
        if GATE in stage.accepted_at and stage.now > stage.accepted_at[GATE] + WAIT_S:
            starts = sum(task.startswith(URGENT + "/") for _, task, _ in stage.starts)
            if JOB in started or GATE in started or urgent_done:
                raise Finished(HELD, f"{JOB} or {GATE} has started, or tasks of {URGENT} are done")
            raise Finished(
                BROKEN,
                f"{WAIT_S:.0f} s after they were accepted neither {JOB} (16 of the 32 cores that its "
                f"team is guaranteed) nor {GATE} (1 core; the machine had 4 free) has started; the "
                f"{URGENT_TASKS} tasks of {URGENT}, of a team without a guarantee, were started "
                f"{starts} times, and none is done",
            )


if __name__ == "__main__":
    play = Play()
    sys.exit(play.stage.play(play.tick))
