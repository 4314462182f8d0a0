"""Writes settings files that `flaxtally.settings.parse` reads, for emulated controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..runtime.loop import Address
    from ..settings import Objective, Settings, Team


def _format_address(address: Address) -> str:
    return f'"{address[0]}:{address[1]}"'


def _format_team(team: Team) -> list[str]:
    return [
        "[[params.teams]]",
        f'name = "{team.name}"',
        f"cpus = {team.cores}",
        f"cpus_max = {team.cores_max}",
        f"gpus = {team.gpus}",
        f"gpus_max = {team.gpus_max}",
    ]


def _format_objective(objective: Objective) -> list[str]:
    job_class = [f'class = "{objective.job_class}"'] if objective.job_class is not None else []
    return [
        "[[params.objectives]]",
        f'kind = "{objective.kind}"',
        *job_class,
        f"within_s = {objective.within}",
        f"share = {objective.share}",
        f"times = {objective.times}",
    ]


def settings_text(settings: Settings) -> str:
    """Returns the settings as TOML."""
    zones = ", ".join(f'"{zone}"' for zone in settings.zones)
    lines = [
        f'node_name = "{settings.node}"',
        f'site = "{settings.zone}"',
        f"listen = {_format_address(settings.listen)}",
        f"cluster_listen = {_format_address(settings.peer_listen)}",
    ]
    for name, (zone, address) in settings.peers.items():
        lines += [
            "",
            "[[others]]",
            f'node_name = "{name}"',
            f'site = "{zone}"',
            f"peer_addr = {_format_address(address)}",
        ]
    lines += [
        "",
        "[endpoints]",
        f"state = {_format_address(settings.state)}",
        f"cloud = {_format_address(settings.cloud)}",
        "",
        "[params]",
        f"zones = [{zones}]",
    ]
    for team in settings.teams.values():
        lines += ["", *_format_team(team)]
    for objective in settings.objectives:
        lines += ["", *_format_objective(objective)]
    lines += [
        "",
        "[params.workers]",
        f"report_s = {settings.report_s}",
        f"lease_s = {settings.lease_s}",
        f"gang_wait_s = {settings.gang_wait_s}",
        f"gang_peer_s = {settings.gang_peer_s}",
        f"cancel_s = {settings.cancel_s}",
        "",
        "[params.state]",
        f"rps = {settings.state_rps}",
        f"write_rps = {settings.state_limits.write_rps}",
        f"value_kb = {settings.state_limits.value_bytes / 1024}",
        f"txn_ops = {settings.state_limits.txn_ops}",
        "",
        "[params.cloud]",
        f"rps = {settings.cloud_rps}",
        f"list_lag_s = {settings.list_lag_s}",
        "",
        "[params.limits]",
        f"max_sockets = {settings.max_sockets}",
    ]
    return "\n".join(lines) + "\n"
