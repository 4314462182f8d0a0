"""The operators' settings: what the platform's file leaves open, as ratios to its figures."""

from __future__ import annotations

from dataclasses import dataclass

from ..settings import Settings


@dataclass(frozen=True)
class Policy:
    """Times in seconds. Each is derived from the platform's settings by `default`."""

    heartbeat: float
    peer_silence: float
    refused_patience: float
    leader_hold: float
    probe: float
    call: float
    order_call: float
    mail: float
    machine_suspect: float
    machine_silence: float
    zone_silence: float
    settle: float
    unattended: float
    cancel_patience: float
    plan_step: float
    plan_horizon: float
    plan_lead: float
    slack: float
    """Spare room for lanes that can't wait, as a share of their running replicas."""
    cool_down: float
    pool_rest: float
    late: float
    """How many times the usual length of its job's tasks is too long for one of them."""
    very_late: float
    slow_rest: float
    move_after: float
    move_patience: float
    move_fetch: float
    move_worth: float
    """Of the fleet's mean price: the least at which a machine is emptied by moving its replicas."""
    boot_patience: float
    retry: float
    ask: float
    sample: int
    pass_rest: float
    """How many times its own length the scheduler rests after a pass: the rest is for messages."""


def default(settings: Settings) -> Policy:
    report, lease, cancel = settings.report_s, settings.lease_s, settings.cancel_s
    return Policy(
        heartbeat=report / 6,
        peer_silence=report * 2 / 3,
        refused_patience=report,
        leader_hold=lease * 0.4,
        probe=report * 2 / 3,
        call=report,
        order_call=report * 4 / 3,
        mail=report / 3,
        machine_suspect=report * 2.2,
        machine_silence=report * 4,
        zone_silence=lease * 2.5,
        settle=lease,
        unattended=max(lease / 2, (cancel - lease) * 0.85),
        cancel_patience=cancel / 2,
        plan_step=lease / 4,
        plan_horizon=lease * 30,
        plan_lead=lease * 6,
        slack=0.06,
        cool_down=lease * 3,
        pool_rest=lease * 2,
        late=1.7,
        very_late=2.4,
        slow_rest=lease * 12,
        move_after=lease * 4,
        move_patience=lease * 4,
        move_fetch=report * 2,
        move_worth=0.25,
        boot_patience=3.0,
        retry=report / 3,
        ask=report,
        sample=24,
        pass_rest=3.0,
    )
