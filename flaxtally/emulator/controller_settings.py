"""Settings files and the deploy file of the emulated controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..fakes.settings_text import settings_text
from ..settings import Objective, Settings, StateLimits
from .plan import HOST, URGENT_AIM_FRACTION, URGENT_CLASS, URGENT_START_AIM_S, Plan

if TYPE_CHECKING:
    from ..runtime.loop import Address

LIST_LAG_S = 2.0
"""The `list_lag_s` setting: how old the cloud's list of machines may be, in seconds."""


def _peer_address(plan: Plan, number: int) -> Address:
    return HOST, plan.users_address(number)[1] + 1


def create_settings(plan: Plan, number: int) -> Settings:
    """Creates the settings of one controller."""
    return Settings(
        node=plan.nodes[number],
        zone=plan.zone_of_node(number),
        listen=plan.users_address(number),
        peer_listen=_peer_address(plan, number),
        peers={
            name: (plan.zone_of_node(other), _peer_address(plan, other))
            for other, name in enumerate(plan.nodes)
            if other != number
        },
        cloud=plan.cloud,
        state=plan.state(plan.cell_of_node(number)),
        zones=tuple(plan.zone_names),
        teams={team.name: team for team in plan.teams},
        objectives=(Objective("wait", URGENT_CLASS, URGENT_START_AIM_S, URGENT_AIM_FRACTION),),
        report_s=plan.report_s,
        lease_s=plan.lease_s,
        gang_wait_s=plan.gang_wait_s,
        gang_peer_s=plan.gang_peer_s,
        cancel_s=plan.cancel_s,
        state_rps=plan.state_rps,
        state_limits=StateLimits(plan.state_write_rps, int(plan.value_kb * 1024), plan.txn_ops),
        cloud_rps=plan.cloud_rps,
        list_lag_s=LIST_LAG_S,
        max_sockets=plan.sockets,
    )


def render_settings(plan: Plan, number: int) -> str:
    """Renders the settings file (TOML) of one controller."""
    return settings_text(create_settings(plan, number))


def render_deploy_file(plan: Plan) -> str:
    """Renders the deploy file (TOML) that divides the fleet into the plan's cells."""
    state = "{}:{}".format(*plan.shared_state)
    lines = ["[cells]", "version = 1", f'state = "{state}"']
    for cell in range(plan.cells):
        zones = ", ".join(f'"{zone}"' for zone in plan.zones_of(cell))
        controllers = ", ".join(f'"{name}"' for name in plan.nodes_of(cell))
        lines += [
            "[[cells.cell]]",
            f'name = "cell-{cell}"',
            f"zones = [{zones}]",
            f"controllers = [{controllers}]",
        ]
    return "\n".join(lines) + "\n"
