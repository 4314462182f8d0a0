"""What many tests begin with, do and end with: busy worlds, changes of leader, the final checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flaxtally.protocol import wire

from .simulated_cluster import SimulatedCluster, batch, spec

if TYPE_CHECKING:
    from collections.abc import Callable


def busy(
    seed: int = 1, services: int = 4, arrays: int = 2, run_time: float = 25.0, **world_args: object
) -> SimulatedCluster:
    """A world whose services run and whose arrays have begun."""
    world = SimulatedCluster(seed, **world_args)  # type: ignore[arg-type]
    for number in range(services):
        world.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    for number in range(arrays):
        world.submit(batch(f"j-{100 + number:06d}", 4), run_time=run_time, node=number)
    assert world.until(lambda: len(world.running) == 2 * services + 4 * arrays, 90), world.trace
    return world


def leader_of(world: SimulatedCluster, most: float = 15.0) -> str:
    assert world.until(lambda: world.leader() is not None, most), world.trace
    return world.leader() or ""


def change_leader(world: SimulatedCluster, back_after: float = 2.0) -> str:
    """Ends the leader's process; the next leader, once it is ready."""
    world.crash(leader_of(world), back_after=back_after)
    assert world.until(
        lambda: (new := world.leader()) is not None and world.nodes[new].leader.term.active, 20
    )
    return leader_of(world)


def term(world: SimulatedCluster) -> int:
    return max(node.election.term for node in world.nodes.values())


def steady_work(world: SimulatedCluster, for_s: float, every: float = 0.5) -> None:
    """Small jobs come; each third is cancelled a little later."""
    for number in range(int(for_s / every)):
        ref = f"j-{5000 + number:06d}"
        world.after(
            number * every, world.submit, batch(ref, 1 + number % 3), 3.0 + number % 5, number
        )
        if number % 3 == 2:
            world.after(number * every + 2.0 + number % 4, world.cancel, ref, number + 1)


def ends_well(world: SimulatedCluster, for_s: float = 110.0) -> None:
    """Once all is over every accepted job is known, arrays are done or run, services run."""
    world.calm(for_s)
    for ref, job in world.specs.items():
        known = world.rules.jobs[ref]
        if not known.accepted:
            continue
        if known.final_stage == wire.ABORTED:
            assert world.count(ref) == 0
        elif job.job_kind in (wire.ARRAY, wire.GANG):
            ends = known.final_stage == wire.DONE or known.is_cancel_requested
            assert ends or len(known.done) + world.count(ref) == job.tasks, (
                ref,
                world.ask(ref),
                world.trace[-40:],
            )
        elif not known.is_cancel_requested:
            assert world.count(ref) == job.tasks, (ref, world.ask(ref))


def cut_zone(world: SimulatedCluster, zone: str) -> Callable[[], None]:
    """Cuts a zone's controllers and machines off from everything; gives what heals it."""
    inside = {world.ip(name) for number, name in enumerate(world.names) if "ab"[number % 2] == zone}
    inside |= {
        world.ip_of(name) for name, worker in world.workers.items() if worker.machine.zone == zone
    }
    pairs = [(one, other) for one in inside for other in world.sim.hosts if other not in inside]
    for pair in pairs:
        world.sim.cut(*pair)
    return lambda: [world.sim.heal(*pair) for pair in pairs] and None


def cut_controllers(world: SimulatedCluster) -> Callable[[], None]:
    """Cuts all controllers off from each other, not from anything else; gives what heals it."""
    pairs = [(a, b) for a in world.names for b in world.names if a < b]
    for a, b in pairs:
        world.sim.cut(world.ip(a), world.ip(b))

    def heal() -> None:
        for a, b in pairs:
            world.sim.heal(world.ip(a), world.ip(b))

    return heal


def serving(jobs: int = 4, seed: int = 1) -> SimulatedCluster:
    """A world with a few services of two replicas running."""
    world = SimulatedCluster(seed)
    for number in range(jobs):
        world.submit(spec(f"j-{number:06d}", tasks=2), node=number)
    assert world.until(lambda: len(world.running) == 2 * jobs, 60), world.trace
    return world
