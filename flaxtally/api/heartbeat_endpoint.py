"""Answers the reports of the machines assigned to this node, and carries orders to machines."""

from __future__ import annotations

import hashlib
import itertools
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from ..clients.workers import Workers, decode_report
from ..cluster.messages import RELAYED_COMMAND_RESULT_KIND
from ..leader.commands import CommandTransport
from ..protocol import wire
from ..runtime.actor import Actor
from .heartbeat_forwarding import HeartbeatForwarding

if TYPE_CHECKING:
    from ..cluster.format_negotiation import FormatNegotiation
    from ..cluster.leader_election import LeaderElection
    from ..cluster.messages import Frame
    from ..cluster.peer_links import PeerLinks
    from ..policy import Policy
    from ..runtime.http import Request
    from ..runtime.loop import Runtime, Timer
    from ..settings import Settings

log = logging.getLogger(__name__)

Told = Callable[[int, bytes], None]
FEWEST_ORDERS_REMEMBERED, ORDERS_PER_SOCKET = 4096, 4
"""Numbers of a leader's orders, against frames that come twice: by the machines that a controller
may have to carry orders to.
"""


def rendezvous_weight(key: str, name: str) -> bytes:
    """Orders names for a key, evenly and the same in every process (rendezvous hashing)."""
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest()


def owner(machine: str, zone: str, view: list[str], zones: dict[str, str]) -> str | None:
    """Rendezvous hashing: the live controller that the machine belongs to.

    Among those of the machine's own zone where there are any: when zones can't reach each other, a
    worker that must first try the far ones, at some seconds each, loses its lease on the way.
    """
    view = [node for node in view if zones.get(node) == zone] or view
    return max(view, key=lambda node: rendezvous_weight(machine, node), default=None)


class ShardOwner(NamedTuple):
    """The controller that a machine of others is to report to, if one is known."""

    node: str | None


class CommandDeduplicator:
    """Tells orders that come a second time from those that come for the first.

    While a link is taken for silent a frame goes both over it and through the state service, and
    may arrive by both ways, the second time seconds or minutes late. An order carried out again
    after its attempt was forgotten on the machine would start that a second time.
    """

    def __init__(self, most: int) -> None:
        """`most`: numbers that are remembered; older ones count as seen."""
        self._most = most
        self._seen: set[int] = set()
        self._oldest = -1

    def is_new(self, number: int) -> bool:
        """Whether the number comes for the first time; it is remembered."""
        if number <= self._oldest or number in self._seen:
            return False
        self._seen.add(number)
        if len(self._seen) > 2 * self._most:
            kept = sorted(self._seen)[-self._most :]
            self._oldest = kept[0] - 1
            self._seen = set(kept)
        return True


class HeartbeatEndpoint(Actor, CommandTransport):
    """Owns what this node hears from machines and the orders that it carries."""

    def __init__(
        self,
        runtime: Runtime,
        settings: Settings,
        policy: Policy,
        election: LeaderElection,
        peers: PeerLinks,
        workers: Workers,
        members: FormatNegotiation,
    ) -> None:
        super().__init__(runtime)
        self._settings, self._policy = settings, policy
        self._election, self._peers, self._workers = election, peers, workers
        self._forwarding = HeartbeatForwarding(
            runtime,
            election,
            peers,
            members,
            policy.mail,
            settings.lease_s / 2,
            settings.state_limits.value_bytes,
        )
        self._deliver: Callable[[str, wire.Heartbeat], None] = lambda *_: None
        self._signs_of_life: Callable[[str, list[str]], None] = lambda *_: None
        self.home_of: Callable[[wire.Heartbeat], ShardOwner | None] = lambda _: None
        """Where a machine reports that is none of ours; None: it is ours."""
        self._started = runtime.now()
        self._heard: dict[str, tuple[float, wire.Heartbeat]] = {}
        self._sent_on: dict[str, float] = {}
        self._returned: dict[str, float] = {}
        self._kept: dict[str, float] = {}
        """When a machine of another controller's was last answered here."""
        self._zones = {
            settings.node: settings.zone,
            **{name: zone for name, (zone, _) in settings.peers.items()},
        }
        self._owners: dict[str, str | None] = {}
        self._owners_of: list[str] = []
        self._ids = itertools.count(election.incarnation)
        self._carried: dict[int, tuple[str, Told, Timer]] = {}
        """By number: who was asked to carry the orders."""
        self._order_numbers: dict[str, CommandDeduplicator] = {}
        """By leader, for the present term: within it a leader has one life, and numbers rise."""
        self._order_term = 0
        self._orders_remembered = max(
            FEWEST_ORDERS_REMEMBERED, ORDERS_PER_SOCKET * settings.max_sockets
        )
        self.every(settings.lease_s, self._tidy)

    def deliver_to(
        self,
        deliver: Callable[[str, wire.Heartbeat], None],
        signs_of_life: Callable[[str, list[str]], None],
    ) -> None:
        """Where reports go while this node leads, and the names of machines that reported."""
        self._deliver, self._signs_of_life = deliver, signs_of_life

    # Reports

    def handle_heartbeat(self, request: Request) -> None:
        try:
            report = decode_report(request.body)
        except msgspec.DecodeError as fault:
            log.warning("a worker's report: %s", fault)
            request.reply(400, {"error": "not a report"})
            return
        home = self.home_of(report)
        if home is not None:
            request.reply(421, wire.Redirect(home.node))
            return
        election, now, name = self._election, self.runtime.now(), report.machine
        if (
            election.term == 0
            and report.fencing_token
            and now - self._started < self._policy.unattended
        ):
            # Begun anew where nothing can be reached: it keeps the tasks of those who ask it, and
            # orders nothing.
            request.reply(200, wire.HeartbeatReply(report.fencing_token))
            return
        if report.fencing_token > election.term:
            # Somebody with a higher term commands it: we are not entitled to act.
            request.reply(421, wire.Redirect(None))
            return
        if election.term == 0 or election.seconds_since_leader_contact > self._policy.unattended:
            request.reply(503, None)
            return
        theirs = self._owner(name, report.zone)
        if theirs not in (None, self._settings.node) and self._peers.is_directly_reachable(
            theirs or ""
        ):
            lease = self._settings.lease_s
            if now - self._sent_on.get(name, float("-inf")) < lease:
                # Sent on and back again: evidently it can't reach its owner.
                self._returned[name] = now
            known = now - self._kept.get(name, float("-inf")) < lease / 2
            self._kept[name] = now
            if known and now - self._returned.get(name, float("-inf")) > 3 * lease:
                # Never at its first report here: it may come from an owner that does not answer it
                # (cut off from workers alone, or standing still), and that took half of its lease.
                self._sent_on[name] = now
                request.reply(421, wire.Redirect(theirs))
                return
        request.reply(200, wire.HeartbeatReply(election.term))
        self._note(report)
        if election.is_leader:
            self._deliver(self._settings.node, report)
        elif election.leader is not None:
            self._forwarding.forward(report, request.body)

    def _owner(self, name: str, zone: str) -> str | None:
        view = self._election.live_members
        if view != self._owners_of:
            self._owners, self._owners_of = {}, list(view)
        if name not in self._owners:
            self._owners[name] = owner(name, zone, view, self._zones)
        return self._owners[name]

    def forwarded(self, sender: str, frame: Frame) -> None:
        """A report that another part took."""
        if self._election.is_leader and frame.get("t") == self._election.term:
            try:
                report = decode_report(frame["b"])
            except (msgspec.DecodeError, KeyError, TypeError) as fault:
                log.warning("a forwarded report: %s", fault)
                return
            self._note(report)
            self._deliver(sender, report)

    def alive(self, sender: str, frame: Frame) -> None:
        """The machines that reported to another part lately: a sign of life, and no more."""
        names = frame.get("m")
        if not isinstance(names, list):
            log.warning("a list of machines of %s is none", sender)
        elif self._election.is_leader and frame.get("t") == self._election.term:
            self._signs_of_life(sender, [name for name in names if isinstance(name, str)])

    def _note(self, report: wire.Heartbeat) -> None:
        """Keeps a machine's newest report for a term that begins here.

        Copies of older ones come later.
        """
        _, last = self._heard.get(report.machine, (0.0, None))
        if last is None or report.recency > last.recency:
            self._heard[report.machine] = (self.runtime.now(), report)

    def recent_heartbeats(self) -> list[wire.Heartbeat]:
        now = self.runtime.now()
        return [report for at, report in self._heard.values() if now - at < self._settings.lease_s]

    def _tidy(self) -> None:
        old = self.runtime.now() - 4 * self._settings.lease_s
        self._forwarding.forget(old)
        self._heard = {name: entry for name, entry in self._heard.items() if entry[0] > old}
        self._sent_on = {name: at for name, at in self._sent_on.items() if at > old}
        self._returned = {name: at for name, at in self._returned.items() if at > old}
        self._kept = {name: at for name, at in self._kept.items() if at > old}

    # Orders

    def send(
        self,
        server: str | None,
        machine: str,
        address: str,
        body: wire.CommandBatch | None,
        done: Told,
    ) -> None:
        if server is None or server == self._settings.node or not self._peers.is_reachable(server):
            self._send(address, body, done)
            return
        number = next(self._ids)
        timer = self.later(self._policy.order_call * 1.25, self._carry_timed_out, number)
        self._carried[number] = (server, done, timer)
        commands = None if body is None else msgspec.to_builtins(body)
        frame = {"k": "ord", "i": number, "m": machine, "a": address, "o": commands}
        self._peers.send(server, frame)

    def other_controllers(self, zone: str) -> list[str]:
        here = self._settings.node
        live = [
            node
            for node in self._election.live_members
            if node != here and self._peers.is_directly_reachable(node)
        ]
        return sorted(live, key=lambda node: self._zones.get(node) != zone)

    def _send(self, address: str, body: wire.CommandBatch | None, done: Told) -> None:
        if body is None:
            self._workers.query_status(address, done)
        else:
            self._workers.send_commands(address, body, done)

    def _carry_timed_out(self, number: int) -> None:
        entry = self._carried.pop(number, None)
        if entry is not None:
            entry[1](0, b"")

    def order(self, sender: str, frame: Frame) -> None:
        """The leader asks this controller to carry orders.

        Late ones are harmless: they name term and session.
        """
        address, number = frame.get("a"), frame.get("i")
        try:
            body = msgspec.convert(frame.get("o"), wire.CommandBatch | None)
        except msgspec.ValidationError as error:
            log.warning("the commands of %s are malformed: %s", sender, error)
            return
        if not isinstance(address, str):
            log.warning("the commands of %s are malformed: no address", sender)
            return
        if body is not None and not self._is_due(sender, body, number):
            return

        machine = frame.get("m")

        def told(status: int, answer: bytes) -> None:
            done = {"k": RELAYED_COMMAND_RESULT_KIND, "i": number, "s": status, "b": answer}
            self._peers.send(sender, done | ({"m": machine} if status else {}))

        self._send(address, body, told)

    def _is_due(self, sender: str, body: wire.CommandBatch, number: Any) -> bool:
        """Whether the orders are of the present term and come for the first time."""
        term = self._election.term
        if body.fencing_token != term or not isinstance(number, int):
            return False
        if term != self._order_term:
            self._order_term, self._order_numbers = term, {}
        numbers = self._order_numbers.setdefault(
            sender, CommandDeduplicator(self._orders_remembered)
        )
        return numbers.is_new(number)

    def carried(self, sender: str, frame: Frame) -> None:
        number, status, body = frame.get("i"), frame.get("s"), frame.get("b")
        if not (isinstance(number, int) and isinstance(status, int) and isinstance(body, bytes)):
            log.warning("an answer of %s to orders is none", sender)
            return
        entry = self._carried.get(number)
        if entry is None or entry[0] != sender:
            return
        del self._carried[number]
        _, done, timer = entry
        timer.cancel()
        done(status, body)
