"""The settings files of the emulated controllers."""

from __future__ import annotations

from ..loop import Address
from .plan import HOST, URGENT_LANE, URGENT_SHARE, URGENT_WITHIN_S, Plan


def _address(where: Address) -> str:
    return f'"{where[0]}:{where[1]}"'


def _peers(plan: Plan, number: int) -> Address:
    return HOST, plan.users_address(number)[1] + 1


def settings_page(plan: Plan, number: int) -> str:
    """The platform's settings (TOML) of one controller."""
    zones = ", ".join(f'"{zone}"' for zone in plan.zone_names)
    lines = [
        f'node_name = "{plan.nodes[number]}"',
        f'site = "{plan.zone_of_node(number)}"',
        f"listen = {_address(plan.users_address(number))}",
        f"cluster_listen = {_address(_peers(plan, number))}",
    ]
    for other, name in enumerate(plan.nodes):
        if other != number:
            lines += [
                "[[others]]",
                f'node_name = "{name}"',
                f'site = "{plan.zone_of_node(other)}"',
                f"peer_addr = {_address(_peers(plan, other))}",
            ]
    lines += [
        "[endpoints]",
        f"state = {_address(plan.state(plan.cell_of_node(number)))}",
        f"cloud = {_address(plan.cloud)}",
        "[params]",
        f"zones = [{zones}]",
    ]
    for team in plan.teams:
        lines += [
            "[[params.teams]]",
            f'name = "{team.name}"',
            f"cpus = {team.cores}",
            f"cpus_max = {team.cores_max}",
            f"gpus = {team.gpus}",
            f"gpus_max = {team.gpus_max}",
        ]
    lines += [
        "[[params.objectives]]",
        'kind = "wait"',
        f'class = "{URGENT_LANE}"',
        f"within_s = {URGENT_WITHIN_S}",
        f"share = {URGENT_SHARE}",
        "[params.workers]",
        f"report_s = {plan.report_s}",
        f"lease_s = {plan.lease_s}",
        f"cancel_s = {plan.cancel_s}",
        "[params.state]",
        f"rps = {plan.state_rps}",
        f"write_rps = {plan.state_write_rps}",
        f"value_kb = {plan.value_kb}",
        f"txn_ops = {plan.txn_ops}",
        "[params.cloud]",
        f"rps = {plan.cloud_rps}",
        "list_lag_s = 2.0",
        "[params.limits]",
        f"max_sockets = {plan.sockets}",
    ]
    return "\n".join(lines) + "\n"


def cells_page(plan: Plan) -> str:
    """The deploy file (TOML) that divides the fleet into the plan's cells."""
    lines = ["[cells]", "version = 1", f"state = {_address(plan.shared_state)}"]
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
