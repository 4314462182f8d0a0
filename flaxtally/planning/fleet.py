"""What is proven, and what is believed, about each machine."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from ..protocol import wire

if TYPE_CHECKING:
    from ..ledger.placement import Placement

UNRESPONSIVE_AFTER_FAILURES = 2
"""Orders in a row without an answer."""


class Pool(NamedTuple):
    """What machines are asked for by: type, zone and kind of rental."""

    machine_type: str
    zone: str
    spot: bool


class Machine:
    """A machine that the leader knows. `is_reconciled`: it has reported under the present token."""

    __slots__ = (
        "_changed",
        "address",
        "anchors",
        "converged_tasks",
        "cores",
        "empty_command_at",
        "failed_commands",
        "failed_jobs",
        "failed_probes",
        "finite_placements",
        "gpus",
        "idle_since",
        "images",
        "incarnation",
        "is_booting",
        "is_cordoned",
        "is_reconciled",
        "is_slow",
        "is_terminating",
        "last_heartbeat_at",
        "machine_type",
        "memory_gb",
        "name",
        "newest_foreign_heartbeat",
        "open_probes",
        "pinned",
        "placements",
        "preempted_by_cloud_at",
        "provisioned_at",
        "quarantine_count",
        "quarantined_until",
        "sequence_number",
        "shard_owner",
        "spot",
        "termination_tried_at",
        "unneeded_since",
        "zone",
    )

    def __init__(
        self,
        name: str,
        machine_type: str,
        zone: str,
        spot: bool,
        now: float,
        changed: dict[Machine, None] | None = None,
    ) -> None:
        """`changed`: where the machine notes that its room, its images or its use changed."""
        self.name, self.machine_type, self.zone, self.spot = name, machine_type, zone, spot
        self._changed = {} if changed is None else changed
        self.address = ""
        self.shard_owner: str | None = None
        self.is_booting = True
        self.is_reconciled = False
        self.incarnation = self.sequence_number = 0
        self.newest_foreign_heartbeat = (0, 0)
        """Session and sequence of its newest report under an older token."""
        self.last_heartbeat_at = self.provisioned_at = now
        self.idle_since = self.unneeded_since = now
        self.anchors = 0
        """Placements other than best-effort ones: they are what the machine is kept for."""
        self.preempted_by_cloud_at: float | None = None
        self.is_cordoned = False
        self.is_slow = False
        """Runs its tasks slower than others: batch tasks go elsewhere."""
        self.is_terminating = False
        self.termination_tried_at = float("-inf")
        self.open_probes = 0
        """Probes under way."""
        self.failed_probes = 0
        self.failed_commands = 0
        self.empty_command_at = float("-inf")
        """When it was last sent an order that only its answer is wanted of."""
        self.converged_tasks: list[wire.TaskStatus] | None = None
        """What it last reported of its tasks, if a report of the same says nothing new."""
        self.failed_jobs: set[str] = set()
        """Jobs whose tasks failed here since one last ended with its result; not those that fail
        everywhere.
        """
        self.quarantined_until: float | None = None
        """Until when it drains for such failures."""
        self.quarantine_count = 0
        """How often it was found faulty."""
        self.images: OrderedDict[str, float] = OrderedDict()
        self.placements: dict[tuple[int, int], Placement] = {}
        self.finite_placements: dict[tuple[int, int], Placement] = {}
        """Those of them that run to an end by themselves."""
        self.cores = self.gpus = self.memory_gb = 0.0
        self.pinned = 0.0
        """How much services take here, as a number that only serves to compare machines."""

    def mark_changed(self) -> None:
        """Room, images, or whether it may be used at all: who chooses machines looks at it anew."""
        self._changed[self] = None

    @property
    def pool(self) -> Pool:
        """The pool that it is of."""
        return Pool(self.machine_type, self.zone, self.spot)

    @property
    def is_unresponsive(self) -> bool:
        """Orders get no answer: what it reports may be well, but nothing can be placed there."""
        return self.failed_commands >= UNRESPONSIVE_AFTER_FAILURES

    def is_newer(self, incarnation: int, sequence_number: int) -> bool:
        return (incarnation, sequence_number) > (self.incarnation, self.sequence_number)

    def reserve(self, spec: wire.Spec, count: int) -> None:
        """Counts the room of that many tasks as taken (less than 0: as free again)."""
        self.cores += spec.cores * count
        self.gpus += spec.gpus * count
        self.memory_gb += spec.memory_gb * count
        self.mark_changed()

    def add_placement(self, placement: Placement) -> None:
        key = (placement.job.number, placement.task)
        if key not in self.placements:
            self.reserve(placement.job.spec, 1)
            self.anchors += not placement.is_best_effort
            self.pinned += _pins(placement.job.spec)
        self.placements[key] = placement
        if placement.job.spec.job_kind != wire.SERVICE:
            self.finite_placements[key] = placement
        self.converged_tasks = None

    def remove_placement(self, placement: Placement, now: float) -> None:
        self.converged_tasks = None
        key = (placement.job.number, placement.task)
        self.finite_placements.pop(key, None)
        if self.placements.pop(key, None) is not None:
            self.reserve(placement.job.spec, -1)
            self.pinned -= _pins(placement.job.spec)
            self.idle_since = now
            if not placement.is_best_effort:
                self.anchors -= 1
                self.unneeded_since = now

    def record_image(self, image: str, size: float, cache: float) -> None:
        """Remembers the image as the most recently used; forgets what the cache no longer holds."""
        if image not in self.images:
            self.mark_changed()
        self.images[image] = size
        self.images.move_to_end(image)
        total = sum(self.images.values())
        while total > cache and len(self.images) > 1:
            total -= self.images.popitem(last=False)[1]

    def images_being_fetched(self) -> set[str]:
        return {
            placement.job.spec.image
            for placement in self.placements.values()
            if placement.state in ("", wire.FETCHING)
        }

    def forget_images(self) -> None:
        """Its session is a new one: what its cache holds is not known."""
        self.images.clear()
        self.mark_changed()


def _pins(spec: wire.Spec) -> float:
    """What a task counts for `Machine.pinned`."""
    return spec.cores + 4 * spec.gpus if spec.job_kind == wire.SERVICE else 0.0
