"""What is proven, and what is believed, about each machine."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from ..ledger.cluster_state import Placement
from ..protocol import wire

DEAF_AFTER = 2
"""Orders in a row without an answer."""


class Pool(NamedTuple):
    """What machines are asked for by: type, zone and kind of rental."""

    kind: str
    zone: str
    spot: bool


class Machine:
    """A machine that the leader knows. `baseline`: it has reported under the present token."""

    __slots__ = (
        "_changed",
        "address",
        "anchors",
        "baseline",
        "booting",
        "cores",
        "draining",
        "empty_order_at",
        "ending",
        "errors",
        "failed_probes",
        "faults",
        "faulty_until",
        "gpus",
        "heard_at",
        "idle_since",
        "images",
        "kind",
        "name",
        "newest_foreign_report",
        "notice_until",
        "orders_failed",
        "pinned",
        "placements",
        "probes",
        "ram",
        "release_tried",
        "releasing",
        "rented_at",
        "sequence",
        "server",
        "session",
        "settled_tasks",
        "slow",
        "spot",
        "unneeded_since",
        "zone",
    )

    def __init__(
        self,
        name: str,
        kind: str,
        zone: str,
        spot: bool,
        now: float,
        changed: dict[Machine, None] | None = None,
    ) -> None:
        """`changed`: where the machine notes that its room, its images or its use changed."""
        self.name, self.kind, self.zone, self.spot = name, kind, zone, spot
        self._changed = {} if changed is None else changed
        self.address = ""
        self.server: str | None = None
        self.booting = True
        self.baseline = False
        self.session = self.sequence = 0
        self.newest_foreign_report = (0, 0)
        """Session and sequence of its newest report under an older token."""
        self.heard_at = self.rented_at = now
        self.idle_since = self.unneeded_since = now
        self.anchors = 0
        """Placements other than best-effort ones: they are what the machine is kept for."""
        self.notice_until: float | None = None
        self.draining = False
        self.slow = False
        """Runs its tasks slower than others: batch tasks go elsewhere."""
        self.releasing = False
        self.release_tried = float("-inf")
        self.probes = 0
        """Probes under way."""
        self.failed_probes = 0
        self.orders_failed = 0
        self.empty_order_at = float("-inf")
        """When it was last sent an order that only its answer is wanted of."""
        self.settled_tasks: list[wire.TaskStatus] | None = None
        """What it last reported of its tasks, if a report of the same says nothing new."""
        self.errors: set[str] = set()
        """Jobs whose tasks failed here since one last ended with its result; not those that fail
        everywhere.
        """
        self.faulty_until: float | None = None
        """Until when it drains for such failures."""
        self.faults = 0
        """How often it was found faulty."""
        self.images: OrderedDict[str, float] = OrderedDict()
        self.placements: dict[tuple[int, int], Placement] = {}
        self.ending: dict[tuple[int, int], Placement] = {}
        """Those of them that run to an end by themselves."""
        self.cores = self.gpus = self.ram = 0.0
        self.pinned = 0.0
        """How much services take here, as a number that only serves to compare machines."""

    def note_change(self) -> None:
        """Room, images, or whether it may be used at all: who chooses machines looks at it anew."""
        self._changed[self] = None

    @property
    def pool(self) -> Pool:
        """The pool that it is of."""
        return Pool(self.kind, self.zone, self.spot)

    @property
    def deaf(self) -> bool:
        """Orders get no answer: what it reports may be well, but nothing can be placed there."""
        return self.orders_failed >= DEAF_AFTER

    def newer(self, session: int, sequence: int) -> bool:
        return (session, sequence) > (self.session, self.sequence)

    def claim(self, spec: wire.Spec, count: int) -> None:
        """Counts the room of that many tasks as taken (less than 0: as free again)."""
        self.cores += spec.cores * count
        self.gpus += spec.gpus * count
        self.ram += spec.ram * count
        self.note_change()

    def use(self, placement: Placement) -> None:
        key = (placement.job.number, placement.task)
        if key not in self.placements:
            self.claim(placement.job.spec, 1)
            self.anchors += not placement.is_best_effort
            self.pinned += _pins(placement.job.spec)
        self.placements[key] = placement
        if placement.job.spec.kind != wire.SERVICE:
            self.ending[key] = placement
        self.settled_tasks = None

    def free(self, placement: Placement, now: float) -> None:
        self.settled_tasks = None
        key = (placement.job.number, placement.task)
        self.ending.pop(key, None)
        if self.placements.pop(key, None) is not None:
            self.claim(placement.job.spec, -1)
            self.pinned -= _pins(placement.job.spec)
            self.idle_since = now
            if not placement.is_best_effort:
                self.anchors -= 1
                self.unneeded_since = now

    def note_image(self, image: str, size: float, cache: float) -> None:
        """Remembers the image as the most recently used; forgets what the cache no longer holds."""
        if image not in self.images:
            self.note_change()
        self.images[image] = size
        self.images.move_to_end(image)
        total = sum(self.images.values())
        while total > cache and len(self.images) > 1:
            total -= self.images.popitem(last=False)[1]

    def fetching(self) -> set[str]:
        return {
            placement.job.spec.image
            for placement in self.placements.values()
            if placement.state in ("", wire.FETCHING)
        }

    def forget_images(self) -> None:
        """Its session is a new one: what its cache holds is not known."""
        self.images.clear()
        self.note_change()


def _pins(spec: wire.Spec) -> float:
    """What a task counts for `Machine.pinned`."""
    return spec.cores + 4 * spec.gpus if spec.kind == wire.SERVICE else 0.0
