"""Limits on connections: one controller serves and calls more workers than it has sockets."""

from __future__ import annotations

from typing import Any

from flaxtally.clients.workers import Workers
from flaxtally.protocol.workers import CommandBatch
from flaxtally.runtime.http import Client, Request, Server

from .simulation import Host, Simulation


def reply(request: Request) -> None:
    request.reply(200, {"path": request.path})


def run_for(sim: Simulation, seconds: float) -> None:
    end = sim.time + seconds
    while sim.next_time() <= end:
        sim.step()
    sim.time = end


def count_open_streams(host: Host) -> int:
    return sum(stream.opened and not stream.is_closed for stream in host.streams)


def test_more_workers_than_connections_all_get_replies() -> None:
    # The only running controller refused workers beyond its connections; these lost their leases.
    sim = Simulation(1)
    host = sim.host("10.0.0.1")
    server = Server(host, ("10.0.0.1", 8080), reply, 10, 30.0, 0.2)
    clients = [Client(sim.host(f"10.1.0.{number}"), ("10.0.0.1", 8080)) for number in range(40)]
    statuses: list[int] = []
    for turn in range(5):
        for number, client in enumerate(clients):
            sim.at(
                turn * 2.5 + number * 0.05,
                client.request,
                "POST",
                "/x",
                None,
                4.0,
                lambda response: statuses.append(response.status),
            )
    most_open = 0
    while sim.next_time() < 14.0:
        sim.step()
        most_open = max(most_open, len(server.connections))
    assert statuses == [200] * 200
    assert most_open <= 10


def test_calls_to_many_workers_share_few_connections() -> None:
    # A new leader calls every worker at once, and each connection was kept indefinitely.
    sim = Simulation(1)
    for number in range(30):
        ip = f"10.1.0.{number}"
        Server(sim.host(ip), (ip, 9000), reply, 10, 300.0, 0.2)
    host = sim.host("10.0.0.1")
    workers = Workers(host, 2.0, 8)
    statuses: list[int] = []
    most_open = 0
    for turn in range(3):
        for number in range(30):
            sim.at(
                float(turn),
                workers.send_commands,
                f"10.1.0.{number}:9000",
                CommandBatch(1, 1, []),
                lambda status, _: statuses.append(status),
            )
    while sim.next_time() < 6.0:
        sim.step()
        most_open = max(most_open, count_open_streams(host))
    assert statuses == [200] * 90
    assert most_open <= 8


def test_calls_that_wait_for_a_connection_end_within_their_timeout() -> None:
    # Hung workers occupy all connections: calls to others must not wait beyond their own timeout.
    sim = Simulation(1)

    def hang(request: Request) -> None:
        """A hung machine never replies."""

    for number in range(6):
        ip = f"10.1.0.{number}"
        Server(sim.host(ip), (ip, 9000), hang if number < 4 else reply, 10, 300.0, 0.2)
    workers = Workers(sim.host("10.0.0.1"), 2.0, 4)
    replies: dict[int, tuple[float, int]] = {}

    def query(number: int) -> None:
        def on_done(status: int, _: Any) -> None:
            replies[number] = sim.time, status

        workers.query_status(f"10.1.0.{number}:9000", on_done)

    for number in range(6):
        query(number)
    run_for(sim, 5.0)
    assert sorted(replies) == list(range(6))
    assert all(at <= 2.01 for at, _ in replies.values())
    sim.at(sim.time, query, 5)
    run_for(sim, 1.0)
    assert replies[5][1] == 200
