"""Users' requests in a fleet of cells: each controller accepts them and forwards to the job's cell.

The directory names the cell of a job. A new job is assigned to a cell that can serve it. If that
cell becomes unreachable before it has kept the job, the job is assigned to another cell.
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from ..api.sharding import compute_rendezvous_weight
from ..protocol import wire
from ..runtime.actor import Actor
from .directory import Directory, Entry, Lookup
from .messages import (
    CellMessage,
    CellReply,
    CellRequest,
    CellState,
    MachineKind,
    from_frame,
    to_frame,
)

if TYPE_CHECKING:
    from ..cluster.leader_election import LeaderElection
    from ..cluster.messages import Frame
    from ..cluster.peer_links import PeerLinks
    from ..policy import Policy
    from ..runtime.loop import Runtime, Timer
    from .map import Cell, CellIndex

log = logging.getLogger(__name__)

ReplyCallback = Callable[[int, Any], None]
SUBMIT = "submit"
MAX_CELLS_PER_SUBMISSION = 4
"""Limit on the cells that one submission is assigned to in turn."""
CANDIDATE_CELLS = 2
"""Number of cells, chosen by the job's id; the one with the least pressure gets the job."""
LOCAL_CELL_MARGIN_TASKS_PER_MACHINE = 1.0
"""A new job goes to another cell only if the local pressure is higher by more than this margin."""
UNAVAILABLE, NOT_FOUND = 503, 404


class _ForwardedRequest:
    """A request that was forwarded to another cell and has no reply yet."""

    __slots__ = ("node", "on_reply", "timer")

    def __init__(self, node: str, on_reply: ReplyCallback) -> None:
        self.node, self.on_reply = node, on_reply
        self.timer: Timer | None = None


class _UserRequest:
    """A user's request that is replied to exactly once; after the deadline with `UNAVAILABLE`."""

    __slots__ = ("_clock", "_deadline", "_on_finished", "_on_reply", "timer")

    def __init__(
        self,
        on_reply: ReplyCallback,
        clock: Callable[[], float],
        deadline: float,
        on_finished: Callable[[], None],
    ) -> None:
        self._clock, self._deadline, self._on_finished = clock, deadline, on_finished
        self._on_reply: ReplyCallback | None = on_reply
        self.timer: Timer | None = None

    def reply(self, status: int, body: Any) -> None:
        on_reply, self._on_reply = self._on_reply, None
        if on_reply is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        self._on_finished()
        if self._clock() > self._deadline:
            # This process was paused: other controllers may have given newer answers meanwhile.
            status, body = UNAVAILABLE, None
        on_reply(status, body)


class CellStates:
    """The latest states that controllers have reported of their cells."""

    def __init__(self, links: PeerLinks) -> None:
        self._links = links
        self._states: dict[str, CellState] = {}
        self._pressure: dict[str, float] = {}
        self._kinds: dict[str, list[MachineKind]] = {}

    def record(self, sender: str, state: CellState) -> None:
        self._states[sender] = state
        if state.pressure is not None:
            self._pressure[state.cell] = state.pressure
            self._kinds[state.cell] = state.kinds

    def find_available_controllers(self, cell: Cell) -> list[str]:
        """Returns the controllers of another cell that have a live link and reach a leader."""
        return [
            name
            for name in cell.controllers
            if name in self._states
            and self._states[name].able
            and self._links.is_directly_reachable(name)
        ]

    def get_pressure(self, cell: Cell) -> float:
        return self._pressure.get(cell.name, 0.0)

    def get_machine_kinds(self, cell: Cell) -> list[MachineKind] | None:
        """Returns the machine types that the cell can provision; None until it reports them."""
        return self._kinds.get(cell.name)


def can_hold_task(kinds: list[MachineKind] | None, spec: wire.Spec) -> bool:
    """Whether one of the machine types can hold a task of the job; True if they are unknown."""
    return kinds is None or any(
        (spec.machine_types is None or kind.name in spec.machine_types)
        and kind.cores >= spec.cores
        and kind.gpus >= spec.gpus
        and kind.memory_gb >= spec.memory_gb
        for kind in kinds
    )


def order_by_job(ref: str, cells: list[Cell]) -> list[Cell]:
    """Returns the cells in an order that depends on the job's id alone (rendezvous hashing)."""
    return sorted(cells, key=lambda cell: compute_rendezvous_weight(ref, cell.name))


class Gateway(Actor):
    """Accepts users' requests and exchanges requests and replies with other cells."""

    def __init__(
        self,
        runtime: Runtime,
        policy: Policy,
        node: str,
        cell: str,
        get_index: Callable[[], CellIndex],
        election: LeaderElection,
        links: PeerLinks,
        directory: Directory,
        forward_to_leader: Callable[[str, Any, ReplyCallback], None],
        build_state: Callable[[], CellState],
        broadcast_in_cell: Callable[[Frame], None],
        max_requests: int,
    ) -> None:
        """Takes the names of this controller and its cell, and the parts that the gateway uses.

        `get_index`: returns the cell map in force. `forward_to_leader`: sends a request to this
        cell's leader. `build_state`: returns this cell's state. `broadcast_in_cell`: sends a frame
        to the other controllers of this cell. `max_requests`: limit on users' requests without a
        reply, and on forwarded ones.
        """
        super().__init__(runtime)
        self._policy, self._node, self._cell = policy, node, cell
        self._get_index, self._election = get_index, election
        self._links, self._directory = links, directory
        self._forward_to_leader, self._build_state, self._max_requests = (
            forward_to_leader,
            build_state,
            max_requests,
        )
        self._broadcast_in_cell = broadcast_in_cell
        self.cell_states = CellStates(links)
        self._request_numbers = itertools.count(election.incarnation)
        """Numbers of forwarded requests. They begin at the incarnation, so that replies to requests
        of an earlier incarnation are not mistaken for replies to this one's.
        """
        self._forwarded: dict[int, _ForwardedRequest] = {}
        self._open_requests = 0
        """Number of users' requests to this controller that have no reply yet."""
        self.every(policy.heartbeat * 2, self._broadcast_state)

    def _broadcast_state(self) -> None:
        state = self._build_state()
        frame = to_frame(state)
        self._links.broadcast(frame)
        if state.pressure is not None:
            # Only the leader knows the pressure. Its followers need it too when they choose a cell.
            self.cell_states.record(self._node, state)
            self._broadcast_in_cell(frame)

    # Requests from users

    def handle_user_request(self, kind: str, subject: str | bytes, on_reply: ReplyCallback) -> None:
        """Handles a user's request; `subject` is a submission's body or the job's id."""
        if self._open_requests >= self._max_requests:
            on_reply(UNAVAILABLE, None)
            return
        self._open_requests += 1
        timeout_s = self._policy.ask
        deadline = self.runtime.now() + timeout_s + self._policy.process_pause
        request = _UserRequest(on_reply, self.runtime.now, deadline, self._on_request_finished)
        request.timer = self.later(timeout_s, request.reply, UNAVAILABLE, None)
        if isinstance(subject, bytes):
            self._place_job(
                subject, wire.parse_submission(subject), request.reply, MAX_CELLS_PER_SUBMISSION
            )
        else:
            self._directory.look_up(
                subject, partial(self._forward_to_kept_cell, kind, subject, request.reply)
            )

    def _on_request_finished(self) -> None:
        self._open_requests -= 1

    def _forward_to_kept_cell(
        self, kind: str, ref: str, on_reply: ReplyCallback, lookup: Lookup | None
    ) -> None:
        if lookup is None:
            on_reply(UNAVAILABLE, None)
        elif lookup.entry is None or not lookup.entry.kept:
            # A cell accepts a job only after it has kept it, so this one was not accepted.
            on_reply(NOT_FOUND, None)
        else:
            self._forward_to_cell(lookup.entry.cell, kind, ref, b"", on_reply)

    # Submissions

    def _place_job(
        self, body: bytes, spec: wire.Spec, on_reply: ReplyCallback, cells_left: int
    ) -> None:
        def on_looked_up(lookup: Lookup | None) -> None:
            if lookup is None:
                on_reply(UNAVAILABLE, None)
                return
            entry = lookup.entry
            if entry is not None and (entry.kept or entry.cell in self._find_available_cells()):
                self._submit_to(entry, body, spec, on_reply, cells_left)
                return
            # The job is in no cell yet, or its cell is unavailable and has not kept it.
            chosen = self._choose_cell(spec)
            if chosen is None or not cells_left:
                on_reply(UNAVAILABLE, None)
                return
            self._directory.assign(spec.ref, self._build_entry(chosen), lookup.version, on_assigned)

        def on_assigned(lookup: Lookup | None) -> None:
            if lookup is None or lookup.entry is None:
                on_reply(UNAVAILABLE, None)
            else:
                self._submit_to(lookup.entry, body, spec, on_reply, cells_left)

        self._directory.look_up(spec.ref, on_looked_up)

    def _build_entry(self, cell: Cell) -> Entry:
        """Builds a new job's entry: assigned to another cell, or already kept by this one."""
        return Entry(cell.name, kept=cell.name == self._cell)

    def _submit_to(
        self, entry: Entry, body: bytes, spec: wire.Spec, on_reply: ReplyCallback, cells_left: int
    ) -> None:
        if entry.cell == self._cell:
            self._keep(spec.ref, partial(self._submit_here, body, on_reply))
            return

        def on_cell_reply(status: int, state: Any) -> None:
            if (
                status == UNAVAILABLE
                and not entry.kept
                and entry.cell not in self._find_available_cells()
            ):
                # The cell may have kept the job before it became unavailable: the key shows it.
                self._place_job(body, spec, on_reply, cells_left - 1)
            else:
                on_reply(status, state)

        self._forward_to_cell(entry.cell, SUBMIT, spec.ref, body, on_cell_reply)

    def _submit_here(self, body: bytes, on_reply: ReplyCallback, kept: bool) -> None:
        if kept:
            self._forward_to_leader(SUBMIT, body, on_reply)
        else:
            on_reply(UNAVAILABLE, None)

    def _keep(self, ref: str, on_done: Callable[[bool], None]) -> None:
        """Marks the job as kept by this cell, unless it is assigned to another one."""

        def on_looked_up(lookup: Lookup | None) -> None:
            if lookup is None or lookup.entry is None or lookup.entry.cell != self._cell:
                on_done(False)
            elif lookup.entry.kept:
                on_done(True)
            else:
                self._directory.assign(ref, Entry(self._cell, True), lookup.version, on_marked)

        def on_marked(lookup: Lookup | None) -> None:
            on_done(lookup is not None and lookup.entry == Entry(self._cell, True))

        self._directory.look_up(ref, on_looked_up)

    def _find_available_cells(self) -> set[str]:
        available = {
            cell.name
            for cell in self._get_index().cells.values()
            if self.cell_states.find_available_controllers(cell)
        }
        if self._election.is_available:
            available.add(self._cell)
        return available

    def _choose_cell(self, spec: wire.Spec) -> Cell | None:
        """Chooses a cell that can serve the job; None if no cell is available."""
        index, available = self._get_index(), self._find_available_cells()
        cells = [cell for cell in index.cells.values() if cell.name in available and cell.open]
        if spec.zone is not None:
            home = index.by_zone.get(spec.zone)
            # If the zone is in no cell, any leader answers that the job can never run.
            cells = [cell for cell in cells if home is None or cell == home]
        fitting = [
            cell for cell in cells if can_hold_task(self.cell_states.get_machine_kinds(cell), spec)
        ]
        if spec.spread and spec.tasks > 1:
            fitting = [cell for cell in fitting if len(cell.zones) > 1] or fitting
        candidates = order_by_job(spec.ref, fitting or cells)[:CANDIDATE_CELLS]
        best = min(candidates, key=self.cell_states.get_pressure, default=None)
        local_cell = index.cells[self._cell]
        if best is None or local_cell not in (fitting or cells):
            return best
        if (
            self.cell_states.get_pressure(local_cell)
            <= self.cell_states.get_pressure(best) + LOCAL_CELL_MARGIN_TASKS_PER_MACHINE
        ):
            # The local cell keeps the job in a single write; another cell needs a second one.
            return local_cell
        return best

    # Requests between cells

    def _forward_to_cell(
        self, cell_name: str, kind: str, ref: str, submission: bytes, on_reply: ReplyCallback
    ) -> None:
        if cell_name == self._cell:
            self._forward_to_leader(kind, submission or ref, on_reply)
            return
        cell = self._get_index().cells.get(cell_name)
        available = self.cell_states.find_available_controllers(cell) if cell is not None else []
        if not available or len(self._forwarded) >= self._max_requests:
            on_reply(UNAVAILABLE, None)
            return
        number = next(self._request_numbers)
        node = available[number % len(available)]
        forwarded = self._forwarded[number] = _ForwardedRequest(node, on_reply)
        forwarded.timer = self.later(
            self._policy.ask, self._finish_forwarded, number, UNAVAILABLE, None
        )
        self._send(node, CellRequest(number, kind, ref, submission))

    def _send(self, node: str, message: CellMessage) -> None:
        self._links.send(node, to_frame(message))

    def _finish_forwarded(self, number: int, status: int, body: Any) -> None:
        forwarded = self._forwarded.pop(number, None)
        if forwarded is None:
            return
        if forwarded.timer is not None:
            forwarded.timer.cancel()
        forwarded.on_reply(status, body)

    def receive(self, sender: str, frame: Frame) -> None:
        """Handles a frame of another cell's controller; a malformed frame is logged and dropped."""
        try:
            message = from_frame(frame)
        except msgspec.ValidationError as error:
            log.warning("event=cell_frame_malformed sender=%s why=%s", sender, error)
            return
        if isinstance(message, CellState):
            cell = self._get_index().by_controller.get(sender)
            if cell is not None and cell.name == message.cell:
                self.cell_states.record(sender, message)
        elif isinstance(message, CellRequest):
            self._handle_request(sender, message)
        else:
            forwarded = self._forwarded.get(message.number)
            if forwarded is not None and forwarded.node == sender:
                self._finish_forwarded(message.number, message.status, message.body)

    def _handle_request(self, sender: str, request: CellRequest) -> None:
        """Handles a request of another cell's controller about a job of this cell."""

        def on_reply(status: int, body: Any) -> None:
            self._send(sender, CellReply(request.number, status, body))

        if request.what != SUBMIT:
            self._forward_to_leader(request.what, request.ref, on_reply)
            return
        try:
            ref = wire.parse_submission(request.submission).ref
        except wire.InvalidSubmissionError as error:
            log.warning("event=cell_frame_malformed sender=%s why=%s", sender, error)
            on_reply(UNAVAILABLE, None)
            return
        # The job's id is read from the submission itself: `request.ref` might name another job.
        self._keep(ref, partial(self._submit_here, request.submission, on_reply))
