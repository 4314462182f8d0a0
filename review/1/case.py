"""A lost task of a gang is launched again under the same attempt on a machine that still lists it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from standins import CouldNotRun, Fleet, Record, run_case  # noqa: E402

HELD_UP_S = 9.0
"""Seconds for which commands to one machine are late: between 2 and 16, as the pages say."""


async def case(record: Record, trouble: bool) -> list[str]:
    fleet = Fleet(record)
    try:
        await fleet.start(4)
        await play(fleet, record, trouble)
    finally:
        fleet.stop()
    return fleet.violations


async def play(fleet: Fleet, record: Record, trouble: bool) -> None:
    workers = fleet.cloud.machines
    # One machine is taken by a batch task, the other three by a gang of three.
    await fleet.submit(fleet.job("j-000001", cores=10.0, sizeGb=0.2, mold="img-1"))
    await fleet.until(lambda: fleet.on_machine.get("j-000001/0"), 30, "the batch task runs")
    spare, batch_task = fleet.on_machine["j-000001/0"][0]
    # The gang's image is in the cache of two machines from earlier work; the others fetch it.
    busy = [worker for worker in workers.values() if worker is not spare]
    bad = busy[0]
    for worker in (spare, bad):
        worker.images.add("img-2")
    failed = []

    def fails(worker, task) -> bool:
        # The machine is faulty for a moment: the first task that starts on it fails.
        if worker is bad and task.hand.startswith("j-000002/") and not failed:
            failed.append(task.hand)
            return True
        return False

    fleet.fails = fails
    ended = asyncio.Event()

    def on_commit(transaction) -> None:
        for change in transaction.get("apply") or ():
            if str(change.get("put", "")).startswith("p/"):
                for stored in change["v"]["r"]:
                    if failed and stored[0] == "E" and f"/{stored[2]}" in failed[0]:
                        ended.set()

    fleet.state.on_commit = on_commit
    gang = fleet.job(
        "j-000002", craft="group", hands=3, cores=10.0, sizeGb=4.0, mold="img-2", reckonS=10.0
    )
    await fleet.submit(gang, run_s=3.0)
    await fleet.until(lambda: bool(failed), 20, "a task of the gang fails")
    await asyncio.wait_for(ended.wait(), 10)
    hand = failed[0]
    leader = fleet.state.leader
    relaunched = asyncio.Event()
    if trouble:
        # The leader ends, and commands to the one machine are late; the empty ones, by which a new
        # leader shows its token, are not. The other two answer a little later than that one.
        fleet.controllers[leader].kill()
        record.write(f"TROUBLE {leader} is killed; commands to {bad.name} are held up")

        def hold(orders) -> float:
            if any(each["verb"] == "launch" and each["hand"] == hand for each in orders):
                relaunched.set()
            return HELD_UP_S if orders and not fleet.violations else 0.0

        bad.hold_command = hold
        for worker in busy[1:]:
            worker.answer_delay = lambda: 0.4
        asyncio.get_running_loop().call_later(5.0, fleet.controllers[leader].start)
        try:
            await asyncio.wait_for(relaunched.wait(), 15)
        except asyncio.TimeoutError:
            raise CouldNotRun("the new leader did not choose the machine again") from None
    # The batch task ends, so its machine has room.
    spare.exit(batch_task, "done")
    await fleet.until(lambda: bool(fleet.violations), 20, "no task runs twice", required=False)
    for name in fleet.names:
        await fleet.poll(name, "j-000002")


if __name__ == "__main__":
    run_case(HERE, case)
