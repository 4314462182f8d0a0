"""The leader's view of the fleet's machines."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import KW_ONLY, InitVar, dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ..protocol import wire

if TYPE_CHECKING:
    from ..ledger.placement import Placement

UNRESPONSIVE_AFTER_FAILURES = 2
"""Consecutive commands without a reply after which a machine counts as unresponsive."""
NEVER = float("-inf")
"""The time, in seconds, of an event that has not happened yet."""
_CORES_PER_GPU_WEIGHT = 4
"""The number of cores that a GPU counts for in `Machine.service_load`."""


class Pool(NamedTuple):
    """An instance pool, from which machines are provisioned."""

    machine_type: str
    zone: str
    spot: bool


@dataclass(eq=False, repr=False, slots=True)
class Machine:
    """The state of a machine as the leader knows it, both confirmed and assumed."""

    name: str
    machine_type: str
    zone: str
    _: KW_ONLY
    spot: bool
    now: InitVar[float]
    changed_machines: dict[Machine, None] = field(default_factory=dict)
    """The machines whose capacity, images or usability changed; each adds itself to it."""

    address: str = ""
    shard_owner: str | None = None
    """The controller that receives its heartbeats."""
    is_booting: bool = True
    provisioned_at: float = field(init=False)

    # Heartbeats

    is_reconciled: bool = False
    """Whether it has reported under a fencing token of the leader's term."""
    incarnation: int = 0
    sequence_number: int = 0
    fencing_token: int = 0
    """The token under which it made the last accepted heartbeat."""
    newest_foreign_heartbeat: tuple[int, int] = (0, 0)
    """Incarnation and sequence number of its newest heartbeat under a token of another leader."""
    last_heartbeat_at: float = field(init=False)
    converged_tasks: list[wire.TaskStatus] | None = None
    """The tasks of its last report, if the same report again would change nothing."""

    # Probes and commands

    open_probes: int = 0
    """The number of probes that await a reply."""
    failed_probes: int = 0
    failed_commands: int = 0
    empty_command_at: float = NEVER
    """When it was last sent an empty command, which only tests whether it replies."""

    # Whether it takes new tasks

    preempted_by_cloud_at: float | None = None
    is_cordoned: bool = False
    is_slow: bool = False
    """Whether it runs tasks slower than others; batch tasks are placed elsewhere."""
    failed_jobs: set[str] = field(default_factory=set)
    """Jobs whose tasks failed here since the last success, without those that fail everywhere."""
    quarantined_until: float | None = None
    """Until when it is cordoned because of such failures."""
    quarantine_count: int = 0
    is_terminating: bool = False
    termination_tried_at: float = NEVER

    # Tasks and resources

    images: OrderedDict[str, float] = field(default_factory=OrderedDict)
    """Sizes in GB of the images assumed to be in its cache, least recently used first."""
    placements: dict[tuple[int, int], Placement] = field(default_factory=dict)
    finite_placements: dict[tuple[int, int], Placement] = field(default_factory=dict)
    """The placements whose tasks finish by themselves: all but replicas of services."""
    non_best_effort_count: int = 0
    """The number of placements that are not best-effort; the machine is kept for them."""
    service_load: float = 0.0
    """Weighted cores and GPUs that services use here; serves only to compare machines."""
    cores: float = 0.0
    """Reserved cores; `gpus` and `memory_gb` are reserved amounts, too."""
    gpus: float = 0.0
    memory_gb: float = 0.0
    idle_since: float = field(init=False)
    unneeded_since: float = field(init=False)
    """Since when it has had only best-effort placements, or none."""

    def __post_init__(self, now: float) -> None:
        """Starts all intervals at the time at which the leader learned of the machine."""
        self.provisioned_at = now
        self.last_heartbeat_at = now
        self.idle_since = now
        self.unneeded_since = now

    def mark_changed(self) -> None:
        """Records a change of capacity, images or usability, so that the index is updated."""
        self.changed_machines[self] = None

    @property
    def pool(self) -> Pool:
        """The pool from which it was provisioned."""
        return Pool(self.machine_type, self.zone, self.spot)

    @property
    def is_unresponsive(self) -> bool:
        """Whether commands get no reply: nothing can be launched, even if it sends heartbeats."""
        return self.failed_commands >= UNRESPONSIVE_AFTER_FAILURES

    def is_newer(self, incarnation: int, sequence_number: int) -> bool:
        """Whether a heartbeat with these numbers is newer than the last accepted one."""
        return (incarnation, sequence_number) > (self.incarnation, self.sequence_number)

    def reserve(self, spec: wire.Spec, count: int) -> None:
        """Reserves the resources of `count` tasks; a negative count releases them."""
        self.cores += spec.cores * count
        self.gpus += spec.gpus * count
        self.memory_gb += spec.memory_gb * count
        self.mark_changed()

    def add_placement(self, placement: Placement) -> None:
        """Adds the placement and reserves its resources, unless it is there already."""
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
        """Removes the placement, whose attempt has finished, and releases its resources."""
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
        """Records the image as most recently used; removes those that the cache must evict."""
        if image not in self.images:
            self.mark_changed()
        self.images[image] = size_gb
        self.images.move_to_end(image)
        total_gb = sum(self.images.values())
        while total_gb > cache_gb and len(self.images) > 1:
            total_gb -= self.images.popitem(last=False)[1]

    def list_images_being_fetched(self) -> set[str]:
        """Returns the images of tasks that have not started to run."""
        return {
            placement.job.spec.image
            for placement in self.placements.values()
            if placement.state in ("", wire.FETCHING)
        }

    def forget_images(self) -> None:
        """Clears the images after a restart of its worker: the content of the cache is unknown."""
        self.images.clear()
        self.mark_changed()


def _service_weight(spec: wire.Spec) -> float:
    """Returns how much a task adds to `Machine.service_load`."""
    return spec.cores + _CORES_PER_GPU_WEIGHT * spec.gpus if spec.job_kind == wire.SERVICE else 0.0
