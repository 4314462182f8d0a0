"""Passes the reports of machines on to the leader.

While the link to the leader is silent frames go through the state service, whose values are small:
with a busy machine's whole report each time, most machines of a cut-off zone were silent to the
leader, which then released them. A report that differs from the last one in nothing but its number
is passed as a note of a few bytes. A leader that lacks the report that the note speaks of passes
over it, and gets the whole one with the next round.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Any

import msgspec

from ..cluster.formats import MemberFormats
from ..cluster.mail import REPORT, SAME_REPORT
from ..cluster.peers import Frame, Peers
from ..protocol import formats, wire
from ..runtime.loop import Runtime

DIGEST_BYTES = 8


def digest(report: wire.Report) -> bytes:
    """Equal for reports that differ in nothing but their number and token."""
    content = msgspec.structs.replace(report, sequence=0, token=0)
    packed = msgspec.msgpack.encode(content)
    return hashlib.blake2b(packed, digest_size=DIGEST_BYTES).digest()


@dataclass(frozen=True)
class SameReport:
    """A note that a machine's report is like its last one."""

    machine: str
    sequence: int
    token: int
    digest: bytes

    def frame(self, term: int) -> Frame:
        """The note as a frame between controllers."""
        return {
            "k": SAME_REPORT,
            "t": term,
            "m": self.machine,
            "s": self.sequence,
            "o": self.token,
            "d": self.digest,
        }

    @classmethod
    def of(cls, frame: Frame) -> SameReport | None:
        """The note of a frame; None: it is none."""
        values: tuple[Any, ...] = frame.get("m"), frame.get("s"), frame.get("o"), frame.get("d")
        if not all(map(isinstance, values, (str, int, int, bytes))):
            return None
        return cls(*values)

    def whole(self, last: wire.Report | None) -> wire.Report | None:
        """The report that the note stands for, if `last` is the one that it speaks of."""
        if last is None or self.sequence <= last.sequence or digest(last) != self.digest:
            return None
        return msgspec.structs.replace(last, sequence=self.sequence, token=self.token)


@dataclass(frozen=True)
class _Passed:
    """The last whole report of a machine that was passed on."""

    leader: str
    term: int
    digest: bytes
    at: float


class ReportForwarding:
    """Owns what was passed on, and when."""

    def __init__(
        self, runtime: Runtime, peers: Peers, members: MemberFormats, whole_every: float
    ) -> None:
        """`whole_every`: seconds after which a report is passed whole again: mail may be lost."""
        self._runtime, self._peers, self._members = runtime, peers, members
        self._whole_every = whole_every
        self._passed: dict[str, _Passed] = {}

    def forward(self, leader: str, term: int, report: wire.Report, body: bytes) -> None:
        """Passes a report, whose bytes are `body`, on to the leader of that term."""
        if self._peers.silent(leader) and self._members.newest_of(leader) >= formats.GANGS:
            self._forward_by_mail(leader, term, report, body)
        else:
            self._passed.pop(report.machine, None)
            self._send_whole(leader, term, report, body)

    def forget(self, before: float) -> None:
        """Drops what was passed on before that time."""
        self._passed = {name: entry for name, entry in self._passed.items() if entry.at > before}

    def _forward_by_mail(self, leader: str, term: int, report: wire.Report, body: bytes) -> None:
        now, found = self._runtime.now(), digest(report)
        last = self._passed.get(report.machine)
        if (
            last is not None
            and (last.leader, last.term, last.digest) == (leader, term, found)
            and now - last.at < self._whole_every
        ):
            note = SameReport(report.machine, report.sequence, report.token, found)
            self._peers.send(leader, note.frame(term))
            return
        self._passed[report.machine] = _Passed(leader, term, found, now)
        self._send_whole(leader, term, report, body)

    def _send_whole(self, leader: str, term: int, report: wire.Report, body: bytes) -> None:
        self._peers.send(leader, {"k": REPORT, "t": term, "m": report.machine, "b": body})
