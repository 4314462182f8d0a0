"""Checks that the machine has the resources for a run, before any process is started."""

from __future__ import annotations

import resource
import socket
from typing import TYPE_CHECKING

import psutil

from .plan import HOST, Plan

if TYPE_CHECKING:
    from ..runtime.loop import Address

OPEN_FILES_PER_WORKER = 5
"""Open files of a hollow worker: its listening socket, its own connection, and connections from up
to three controllers.
"""
OTHER_OPEN_FILES = 200
"""Open files of a process besides those that grow with the fleet."""
MAX_PROCESSES = 200
OTHER_PROCESSES = 3
"""Processes besides the controllers and the workers' processes: the coordinator, the users, and the
fake state services with the fake cloud.
"""
MAX_MEMORY_FRACTION = 0.5
"""The largest fraction of the machine's memory that a run may need."""
BYTES_PER_MB = 2**20
MB_PER_CONTROLLER, MB_PER_CHILD = 80, 60
"""Memory of a controller and of a child process without its workers."""
KB_PER_WORKER, KB_PER_START = 120, 2
"""Memory of a hollow worker with its tasks, and of a task's start in the history."""


class LimitError(Exception):
    """The machine lacks a resource for the run; the text says which, and which option to change."""


def compute_open_files_needed(plan: Plan) -> int:
    """Computes the open files of the process that needs most of them."""
    worker_files = min(plan.workers, plan.workers_per_process) * OPEN_FILES_PER_WORKER
    return max(worker_files, plan.sockets) + OTHER_OPEN_FILES


def estimate_memory_bytes(plan: Plan) -> int:
    """Estimates the memory of all processes of the run, in bytes."""
    children = plan.worker_processes + OTHER_PROCESSES
    seconds = plan.warm_up + 2 * plan.seconds
    starts = plan.workers * (plan.tasks_per_worker + plan.starts_per_worker * seconds)
    fixed_bytes = (len(plan.nodes) * MB_PER_CONTROLLER + children * MB_PER_CHILD) * BYTES_PER_MB
    return round(fixed_bytes + plan.workers * KB_PER_WORKER * 1024 + starts * KB_PER_START * 1024)


def check(plan: Plan) -> None:
    """Raises `LimitError` for the first resource that is insufficient."""
    if plan.zones < plan.cells:
        raise LimitError(f"{plan.cells} cells need as many zones: raise --zones")
    processes = len(plan.nodes) + plan.worker_processes + OTHER_PROCESSES
    if processes > MAX_PROCESSES:
        raise LimitError(
            f"{processes} processes are more than {MAX_PROCESSES}: lower --workers or "
            "--controllers, or raise --workers-per-process"
        )
    files, allowed = compute_open_files_needed(plan), resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if files > allowed:
        raise LimitError(
            f"a process needs {files} open files and may have {allowed} (ulimit -n): "
            "lower --workers-per-process, or --workers if that is not enough"
        )
    memory = estimate_memory_bytes(plan)
    available = min(
        psutil.virtual_memory().total * MAX_MEMORY_FRACTION, psutil.virtual_memory().available
    )
    if memory > available:
        raise LimitError(
            f"about {memory // BYTES_PER_MB} MB are needed and "
            f"{int(available) // BYTES_PER_MB} MB may be used (half "
            "of the machine's memory at most): lower --workers or --seconds"
        )
    if plan.ports[-1] > 65535:
        raise LimitError(f"port {plan.ports[-1]} is too high: lower --port or --controllers")
    for port in plan.ports:
        check_port_is_free((HOST, port))
    check_port_is_free(plan.worker_address(0))


def check_port_is_free(address: Address) -> None:
    """Raises `LimitError` if nothing can listen at the address."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError as error:
            raise LimitError(
                f"{address[0]}:{address[1]} can't be used ({error.strerror}): choose another --port"
            ) from None
