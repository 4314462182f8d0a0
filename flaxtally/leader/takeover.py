"""Takeover: how a new leader learns the jobs and machines before heartbeats reach it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..protocol import wire

if TYPE_CHECKING:
    from .commands import CommandTransport
    from .term import Term
    from .term_duties import TermDuties


def take_over(duties: TermDuties, transport: CommandTransport) -> None:
    """Restores jobs and machines from the replayed log, and sends the new fencing token to them."""
    duties.jobs.restore()
    duties.quota_reclaim.restore()
    _add_reporting_machines(duties.term, transport)
    _add_machines_with_placements(duties.term)
    _send_fencing_tokens(duties)
    _restore_machine_types(duties.term)
    duties.autoscaler.load_machine_types()
    duties.list_machines()
    duties.term.request_pass()


def _add_reporting_machines(term: Term, transport: CommandTransport) -> None:
    """Adds the machines whose heartbeats this controller handled as a follower."""
    for heartbeat in transport.list_recent_heartbeats():
        machine = term.fleet.add_machine(
            heartbeat.machine, heartbeat.machine_type, heartbeat.zone, spot=heartbeat.spot
        )
        machine.address = heartbeat.address
        machine.is_booting = False
        machine.incarnation = heartbeat.incarnation


def _add_machines_with_placements(term: Term) -> None:
    """Adds the machines with placements in the log.

    Their type is unknown until they send a heartbeat or the cloud lists them.
    """
    for name, placements in term.ledger.state.placements_by_machine.items():
        zone = next(iter(placements.values())).zone
        term.fleet.add_machine(name, "", zone, spot=False).is_booting = False


def _send_fencing_tokens(duties: TermDuties) -> None:
    """Sends the term's fencing token to each machine; the machine's reply reconciles it.

    The time of the last heartbeat is set ahead, so that the machines have time to reply before
    heartbeats count as missing.
    """
    term = duties.term
    last_heartbeat_at = term.runtime.now() + term.policy.settle / 2
    for machine in term.fleet.machines.values():
        machine.last_heartbeat_at = last_heartbeat_at
        duties.commands.send_fencing_token(machine)


def _restore_machine_types(term: Term) -> None:
    """Loads the stored machine types, for a leader that begins while the cloud is unreachable."""
    if not term.machine_types:
        stored = msgspec.convert(term.ledger.state.catalog, list[wire.MachineType])
        term.machine_types = {machine_type.name: machine_type for machine_type in stored}
