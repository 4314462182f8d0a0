"""Machines as the leader knows them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import KW_ONLY, InitVar, dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..protocol import wire

if TYPE_CHECKING:
    from ..ledger.placement import Placement

UNRESPONSIVE_AFTER_FAILURES = 2
"""Commands in a row without an answer."""
NEVER = float("-inf")
"""As the time of something that has not happened yet."""


class Pool(NamedTuple):
    """An instance pool, from which machines are provisioned."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(eq=False, repr=False, slots=True)
class Machine:
    """A machine that the leader knows: what is proven about it and what is believed."""

    name: str
    machine_type: str
    zone: str
    _: KW_ONLY
    spot: bool
    now: InitVar[float]
    changed_machines: dict[Machine, None] = field(default_factory=dict)
    """Where the machine enters itself when its capacity, images or usability change."""

    address: str = ""
    shard_owner: str | None = None
    """The controller that receives its heartbeats."""
    is_booting: bool = True
    provisioned_at: float = field(init=False)

    # Heartbeats

    is_reconciled: bool = False
    """It has reported under the present fencing token."""
    incarnation: int = 0
    sequence_number: int = 0
    newest_foreign_heartbeat: tuple[int, int] = (0, 0)
    """Incarnation and sequence number of its newest heartbeat under another token."""
    last_heartbeat_at: float = field(init=False)
    converged_tasks: list[wire.TaskStatus] | None = None
    """The tasks that it last reported, if the same report once more would change nothing."""

    # Probes and commands

    open_probes: int = 0
    """Probes under way."""
    failed_probes: int = 0
    failed_commands: int = 0
    empty_command_at: float = NEVER
    """When it was last sent a command of which only the answer is wanted."""

    # Whether it takes new tasks

    preempted_by_cloud_at: float | None = None
    is_cordoned: bool = False
    is_slow: bool = False
    """It runs tasks slower than others: batch tasks go elsewhere."""
    failed_jobs: set[str] = field(default_factory=set)
    """Jobs whose tasks failed here since one last succeeded; not those that fail everywhere."""
    quarantined_until: float | None = None
    """How long it is cordoned for such failures."""
    quarantine_count: int = 0
    is_terminating: bool = False
    termination_tried_at: float = NEVER

    # Tasks and resources

    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    """Sizes of the images that its cache should hold, the least recently used first."""
    placements: dict[tuple[int, int], Placement] = field(default_factory=dict)
    finite_placements: dict[tuple[int, int], Placement] = field(default_factory=dict)
    """Those of them that run to an end by themselves."""
    non_best_effort_count: int = 0
    """Placements other than best-effort ones: the machine is kept for them."""
    service_load: float = 0.0
    """How much services take here, as a number that only serves to compare machines."""
    cores: float = 0.0
    """Reserved, as are `gpus` and `memory_gb`."""
    gpus: float = 0.0
    memory_gb: float = 0.0
    idle_since: float = field(init=False)
    unneeded_since: float = field(init=False)
    """Since when it has no placements but best-effort ones."""

    def __post_init__(self, now: float) -> None:
        """All that is counted from the moment at which the leader learnt of the machine."""
        self.provisioned_at = now
        self.last_heartbeat_at = now
        self.idle_since = now
        self.unneeded_since = now

    def mark_changed(self) -> None:
        """Capacity, images or usability changed: schedulers evaluate the machine again."""
        self.changed_machines[self] = None

    @property
    def pool(self) -> Pool:
        """The pool that it was provisioned from."""
        return Pool(self.machine_type, self.zone, self.spot)

    @property
    def is_unresponsive(self) -> bool:
        """Commands get no answer: it may send heartbeats, but nothing can be launched there."""
        return self.failed_commands >= UNRESPONSIVE_AFTER_FAILURES

    def is_newer(self, incarnation: int, sequence_number: int) -> bool:
        """Whether a heartbeat with these numbers is newer than the last one that counted."""
        return (incarnation, sequence_number) > (self.incarnation, self.sequence_number)

    def reserve(self, spec: wire.Spec, count: int) -> None:
        """Reserves the resources of `count` tasks; releases them where it is negative."""
        self.cores += spec.cores * count
        self.gpus += spec.gpus * count
        self.memory_gb += spec.memory_gb * count
        self.mark_changed()

    def add_placement(self, placement: Placement) -> None:
        """Reserves what the placement takes, once."""
        key = (placement.job.number, placement.task)
        if key not in self.placements:
            self.reserve(placement.job.spec, 1)
            self.non_best_effort_count += not placement.is_best_effort
            self.service_load += _service_weight(placement.job.spec)
        self.placements[key] = placement
        if placement.job.spec.job_kind != wire.SERVICE:
            self.finite_placements[key] = placement
        self.converged_tasks = None

    def remove_placement(self, placement: Placement, now: float) -> None:
        """Releases what the placement took: its attempt is over."""
        self.converged_tasks = None
        key = (placement.job.number, placement.task)
        self.finite_placements.pop(key, None)
        if self.placements.pop(key, None) is not None:
            self.reserve(placement.job.spec, -1)
            self.service_load -= _service_weight(placement.job.spec)
            self.idle_since = now
            if not placement.is_best_effort:
                self.non_best_effort_count -= 1
                self.unneeded_since = now

    def record_image(self, image: str, size_gb: float, cache_gb: float) -> None:
        """Counts the image as the most recently used; forgets those that the cache evicted."""
        if image not in self.images:
            self.mark_changed()
        self.images[image] = size_gb
        self.images.move_to_end(image)
        total_gb = sum(self.images.values())
        while total_gb > cache_gb and len(self.images) > 1:
            total_gb -= self.images.popitem(last=False)[1]

    def images_being_fetched(self) -> set[str]:
        """The images of tasks that have not begun to run."""
        return {
            placement.job.spec.image
            for placement in self.placements.values()
            if placement.state in ("", wire.FETCHING)
        }

    def forget_images(self) -> None:
        """Its agent began anew: what its cache holds is unknown."""
        self.images.clear()
        self.mark_changed()


def _service_weight(spec: wire.Spec) -> float:
    """How much a task adds to `Machine.pinned`."""
    return spec.cores + 4 * spec.gpus if spec.job_kind == wire.SERVICE else 0.0
