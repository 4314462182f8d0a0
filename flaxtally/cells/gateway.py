"""Users' questions in a fleet of cells: any controller takes any, and passes it to the job's cell.

The directory says which cell that is. A submission of a job that is in no cell is sent to one that
can serve it; one whose cell gives no sign is sent elsewhere as long as that cell has not kept it.
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
from .directory import Directory, Entry, Found
from .messages import Answer, CellState, Kind, Message, Question, from_frame, to_frame

if TYPE_CHECKING:
    from ..cluster.leader_election import LeaderElection
    from ..cluster.messages import Frame
    from ..cluster.peer_links import PeerLinks
    from ..policy import Policy
    from ..runtime.loop import Runtime, Timer
    from .map import Cell, CellIndex

log = logging.getLogger(__name__)

Told = Callable[[int, Any], None]
SUBMIT = "submit"
MOST_MOVES = 4
"""Cells that one submission is sent to, at most."""
CHOICES = 2
"""Of so many cells, drawn by the job's id, the one under less pressure is taken."""
NEAR = 1.0
"""Waiting tasks a machine by which another cell must be better off than the one that is asked."""
NOT_NOW, NOT_FOUND = 503, 404


class _Passed:
    """A question on its way to another cell."""

    __slots__ = ("asked", "done", "timer")

    def __init__(self, asked: str, done: Told) -> None:
        self.asked, self.done = asked, done
        self.timer: Timer | None = None


class _Asked:
    """A user's question from when it came until it is answered, once and in time."""

    __slots__ = ("_answer", "_clock", "_over", "_until", "timer")

    def __init__(
        self, answer: Told, clock: Callable[[], float], until: float, over: Callable[[], None]
    ) -> None:
        self._clock, self._until, self._over = clock, until, over
        self._answer: Told | None = answer
        self.timer: Timer | None = None

    def tell(self, status: int, body: Any) -> None:
        answer, self._answer = self._answer, None
        if answer is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        self._over()
        if self._clock() > self._until:
            # After a pause of this process it may be older than what others were told since.
            status, body = NOT_NOW, None
        answer(status, body)


class CellStates:
    """What controllers have said of their cells lately."""

    def __init__(self, links: PeerLinks) -> None:
        self._links = links
        self._said: dict[str, CellState] = {}
        self._pressure: dict[str, float] = {}
        self._kinds: dict[str, list[Kind]] = {}

    def note(self, sender: str, state: CellState) -> None:
        self._said[sender] = state
        if state.pressure is not None:
            self._pressure[state.cell] = state.pressure
            self._kinds[state.cell] = state.kinds

    def able(self, cell: Cell) -> list[str]:
        """The controllers of another cell that were heard lately and reach a leader."""
        return [
            name
            for name in cell.controllers
            if name in self._said
            and self._said[name].able
            and self._links.is_directly_reachable(name)
        ]

    def pressure(self, cell: Cell) -> float:
        return self._pressure.get(cell.name, 0.0)

    def kinds(self, cell: Cell) -> list[Kind] | None:
        """The types that the cell can rent; None while it has not said."""
        return self._kinds.get(cell.name)


def holds(kinds: list[Kind] | None, spec: wire.Spec) -> bool:
    """Whether one of the types can hold a task of the job. Unknown types may."""
    return kinds is None or any(
        (spec.machine_types is None or kind.name in spec.machine_types)
        and kind.cores >= spec.cores
        and kind.gpus >= spec.gpus
        and kind.memory_gb >= spec.memory_gb
        for kind in kinds
    )


def draw(ref: str, cells: list[Cell]) -> list[Cell]:
    """The cells in an order that the job's id alone decides (rendezvous hashing)."""
    return sorted(cells, key=lambda cell: compute_rendezvous_weight(ref, cell.name))


class Gateway(Actor):
    """Owns the questions under way between this controller and other cells."""

    def __init__(
        self,
        runtime: Runtime,
        policy: Policy,
        node: str,
        cell: str,
        index: Callable[[], CellIndex],
        election: LeaderElection,
        links: PeerLinks,
        directory: Directory,
        ask_here: Callable[[str, Any, Told], None],
        own_state: Callable[[], CellState],
        tell_peers: Callable[[Frame], None],
        most: int,
    ) -> None:
        """`ask_here`: this cell's way to its leader. `most`: questions passed on at a time.

        `tell_peers`: sends a frame to the other controllers of this cell.
        """
        super().__init__(runtime)
        self._policy, self._node, self._cell = policy, node, cell
        self._index, self._election = index, election
        self._links, self._directory = links, directory
        self._ask_here, self._own_state, self._most = ask_here, own_state, most
        self._tell_peers = tell_peers
        self.cells = CellStates(links)
        self._numbers = itertools.count(election.incarnation)
        self._passed: dict[int, _Passed] = {}
        self._open = 0
        """Users' questions that came here and are not answered."""
        self.every(policy.heartbeat * 2, self._tell_state)

    def _tell_state(self) -> None:
        state = self._own_state()
        frame = to_frame(state)
        self._links.broadcast(frame)
        if state.pressure is not None:
            # The leader's word: those who follow it choose cells by it too.
            self.cells.note(self._node, state)
            self._tell_peers(frame)

    # Users

    def ask(self, what: str, subject: str | bytes, answer: Told) -> None:
        """A user's question, from this controller's own interface."""
        if self._open >= self._most:
            answer(NOT_NOW, None)
            return
        self._open += 1
        patience = self._policy.ask
        until = self.runtime.now() + patience + self._policy.process_pause
        asked = _Asked(answer, self.runtime.now, until, self._close)
        asked.timer = self.later(patience, asked.tell, NOT_NOW, None)
        if isinstance(subject, bytes):
            self._place(subject, wire.parse_submission(subject), asked.tell, MOST_MOVES)
        else:
            self._directory.look_up(subject, partial(self._ask_cell, what, subject, asked.tell))

    def _close(self) -> None:
        self._open -= 1

    def _ask_cell(self, what: str, ref: str, answer: Told, found: Found | None) -> None:
        if found is None:
            answer(NOT_NOW, None)
        elif found.entry is None or not found.entry.kept:
            # No cell accepts a job before it has kept it: nobody was told that it is accepted.
            answer(NOT_FOUND, None)
        else:
            self._pass(found.entry.cell, what, ref, b"", answer)

    # Submissions

    def _place(self, body: bytes, spec: wire.Spec, answer: Told, moves: int) -> None:
        def found(found: Found | None) -> None:
            if found is None:
                answer(NOT_NOW, None)
                return
            entry = found.entry
            if entry is not None and (entry.kept or entry.cell in self._able_cells()):
                self._submit_to(entry, body, spec, answer, moves)
                return
            # In no cell yet, or in one that gives no sign and has not kept it.
            chosen = self._choose(spec)
            if chosen is None or not moves:
                answer(NOT_NOW, None)
                return
            self._directory.assign(spec.ref, self._entry(chosen), found.version, assigned)

        def assigned(found: Found | None) -> None:
            if found is None or found.entry is None:
                answer(NOT_NOW, None)
            else:
                self._submit_to(found.entry, body, spec, answer, moves)

        self._directory.look_up(spec.ref, found)

    def _entry(self, cell: Cell) -> Entry:
        """Sent to another cell, or kept at once by this one."""
        return Entry(cell.name, kept=cell.name == self._cell)

    def _submit_to(
        self, entry: Entry, body: bytes, spec: wire.Spec, answer: Told, moves: int
    ) -> None:
        if entry.cell == self._cell:
            self._keep(spec.ref, partial(self._submit_here, body, answer))
            return

        def told(status: int, state: Any) -> None:
            if status == NOT_NOW and not entry.kept and entry.cell not in self._able_cells():
                # It may have kept it, and fallen silent then: the key tells.
                self._place(body, spec, answer, moves - 1)
            else:
                answer(status, state)

        self._pass(entry.cell, SUBMIT, spec.ref, body, told)

    def _submit_here(self, body: bytes, answer: Told, kept: bool) -> None:
        if kept:
            self._ask_here(SUBMIT, body, answer)
        else:
            answer(NOT_NOW, None)

    def _keep(self, ref: str, done: Callable[[bool], None]) -> None:
        """Puts this cell's mark on the job, unless it was sent elsewhere."""

        def found(found: Found | None) -> None:
            if found is None or found.entry is None or found.entry.cell != self._cell:
                done(False)
            elif found.entry.kept:
                done(True)
            else:
                self._directory.assign(ref, Entry(self._cell, True), found.version, marked)

        def marked(found: Found | None) -> None:
            done(found is not None and found.entry == Entry(self._cell, True))

        self._directory.look_up(ref, found)

    def _able_cells(self) -> set[str]:
        able = {cell.name for cell in self._index().cells.values() if self.cells.able(cell)}
        if self._election.is_available:
            able.add(self._cell)
        return able

    def _choose(self, spec: wire.Spec) -> Cell | None:
        """A cell that can serve the job; None if no cell gives a sign."""
        index, able = self._index(), self._able_cells()
        cells = [cell for cell in index.cells.values() if cell.name in able and cell.open]
        if spec.zone is not None:
            home = index.by_zone.get(spec.zone)
            # A zone that is in no cell: any leader says that the job can never run.
            cells = [cell for cell in cells if home is None or cell == home]
        fitting = [cell for cell in cells if holds(self.cells.kinds(cell), spec)]
        if spec.spread and spec.tasks > 1:
            fitting = [cell for cell in fitting if len(cell.zones) > 1] or fitting
        drawn = draw(spec.ref, fitting or cells)[:CHOICES]
        best = min(drawn, key=self.cells.pressure, default=None)
        here = index.cells[self._cell]
        if best is None or here not in (fitting or cells):
            return best
        if self.cells.pressure(here) <= self.cells.pressure(best) + NEAR:
            # Kept at once, in one write; sent to another cell, it is written twice.
            return here
        return best

    # Between cells

    def _pass(self, cell_name: str, what: str, ref: str, submission: bytes, answer: Told) -> None:
        if cell_name == self._cell:
            self._ask_here(what, submission or ref, answer)
            return
        cell = self._index().cells.get(cell_name)
        able = self.cells.able(cell) if cell is not None else []
        if not able or len(self._passed) >= self._most:
            answer(NOT_NOW, None)
            return
        number = next(self._numbers)
        asked = able[number % len(able)]
        passed = self._passed[number] = _Passed(asked, answer)
        passed.timer = self.later(self._policy.ask, self._answered, number, NOT_NOW, None)
        self._send(asked, Question(number, what, ref, submission))

    def _send(self, node: str, message: Message) -> None:
        self._links.send(node, to_frame(message))

    def _answered(self, number: int, status: int, body: Any) -> None:
        passed = self._passed.pop(number, None)
        if passed is None:
            return
        if passed.timer is not None:
            passed.timer.cancel()
        passed.done(status, body)

    def receive(self, sender: str, frame: Frame) -> None:
        """A frame of another cell's controller. A malformed one is one log line."""
        try:
            message = from_frame(frame)
        except msgspec.ValidationError as fault:
            log.warning("event=cell_frame_malformed sender=%s why=%s", sender, fault)
            return
        if isinstance(message, CellState):
            cell = self._index().by_controller.get(sender)
            if cell is not None and cell.name == message.cell:
                self.cells.note(sender, message)
        elif isinstance(message, Question):
            self._serve(sender, message)
        else:
            passed = self._passed.get(message.number)
            if passed is not None and passed.asked == sender:
                self._answered(message.number, message.status, message.body)

    def _serve(self, sender: str, question: Question) -> None:
        """Another cell's controller asks about a job of this cell."""

        def answer(status: int, body: Any) -> None:
            self._send(sender, Answer(question.number, status, body))

        if question.what != SUBMIT:
            self._ask_here(question.what, question.ref, answer)
            return
        try:
            named = wire.parse_submission(question.submission).ref
        except wire.InvalidSubmissionError as fault:
            log.warning("event=cell_frame_malformed sender=%s why=%s", sender, fault)
            answer(NOT_NOW, None)
            return
        # What it names itself is kept: another job's mark would be none.
        self._keep(named, partial(self._submit_here, question.submission, answer))
