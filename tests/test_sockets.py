"""Few sockets for many: what a controller that is alone with all workers must bear."""

from __future__ import annotations

from typing import Any

from flaxtally.clients.workers import Workers
from flaxtally.protocol.workers import CommandBatch
from flaxtally.runtime.http import Client, Request, Server

from .simulation import Host, Simulation


def answer(request: Request) -> None:
    request.reply(200, {"path": request.path})


def play(sim: Simulation, seconds: float) -> None:
    end = sim.time + seconds
    while sim.next_time() <= end:
        sim.step()
    sim.time = end


def standing(host: Host) -> int:
    return sum(stream.opened and not stream.is_closed for stream in host.streams)


def test_more_workers_than_connections_are_all_answered() -> None:
    # A controller that is alone refused the workers beyond its connections; they lost their leases.
    sim = Simulation(1)
    host = sim.host("10.0.0.1")
    server = Server(host, ("10.0.0.1", 8080), answer, 10, 30.0, 0.2)
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
                lambda reply: statuses.append(reply.status),
            )
    most = 0
    while sim.next_time() < 14.0:
        sim.step()
        most = max(most, len(server.open))
    assert statuses == [200] * 200
    assert most <= 10


def test_calls_to_many_workers_share_few_connections() -> None:
    # A new leader speaks to every worker at once; each connection was kept for ever.
    sim = Simulation(1)
    for number in range(30):
        ip = f"10.1.0.{number}"
        Server(sim.host(ip), (ip, 9000), answer, 10, 300.0, 0.2)
    host = sim.host("10.0.0.1")
    workers = Workers(host, 2.0, 8)
    told: list[int] = []
    most = 0
    for turn in range(3):
        for number in range(30):
            sim.at(
                float(turn),
                workers.send_commands,
                f"10.1.0.{number}:9000",
                CommandBatch(1, 1, []),
                lambda status, _: told.append(status),
            )
    while sim.next_time() < 6.0:
        sim.step()
        most = max(most, standing(host))
    assert told == [200] * 90
    assert most <= 8


def test_calls_that_wait_for_a_connection_end_in_their_time() -> None:
    # Workers that hang hold all connections: the others' calls must not wait beyond their own time.
    sim = Simulation(1)

    def hang(request: Request) -> None:
        """A machine that hangs says nothing."""

    for number in range(6):
        ip = f"10.1.0.{number}"
        Server(sim.host(ip), (ip, 9000), hang if number < 4 else answer, 10, 300.0, 0.2)
    workers = Workers(sim.host("10.0.0.1"), 2.0, 4)
    told: dict[int, tuple[float, int]] = {}

    def ask(number: int) -> None:
        def done(status: int, _: Any) -> None:
            told[number] = sim.time, status

        workers.query_status(f"10.1.0.{number}:9000", done)

    for number in range(6):
        ask(number)
    play(sim, 5.0)
    assert sorted(told) == list(range(6))
    assert all(at <= 2.01 for at, _ in told.values())
    sim.at(sim.time, ask, 5)
    play(sim, 1.0)
    assert told[5][1] == 200
