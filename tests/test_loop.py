"""The event loop: timers that are kept, cyclic garbage, reported delays, limits of connections."""

import gc
from functools import partial

import pytest

from flaxtally.protocol import wire
from flaxtally.runtime.http import MAX_BUFFERED_BYTES
from flaxtally.runtime.loop import MIN_TIMERS_TO_CLEAR, Loop
from flaxtally.runtime.loop_delay import DelayMonitor, LoopDelay, get_callback_name

from .scenarios import wait_for_leader
from .simulated_cluster import SimulatedCluster, spec

POLL_COUNT = 300


def test_cancelled_timers_are_dropped_before_they_are_due() -> None:
    # Each request sets a timeout of half a minute; cancelled ones were the majority of all timers.
    loop = Loop()
    kept = loop.after(1000.0, lambda: None)
    for _ in range(100 * MIN_TIMERS_TO_CLEAR):
        loop.after(1000.0, lambda: None).cancel()
    assert len(loop._timers) <= 2 * MIN_TIMERS_TO_CLEAR
    assert any(timer is kept for _, _, timer in loop._timers)


@pytest.mark.real_processes
def test_timers_still_fire_in_order_after_cancelled_ones_were_dropped() -> None:
    # Dropping cancelled timers rebuilds the heap; the remaining ones must keep their order.
    loop, fired = Loop(), list[int]()
    for number in reversed(range(5)):
        loop.after(0.001 * number, fired.append, number)
    for _ in range(10 * MIN_TIMERS_TO_CLEAR):
        loop.after(1000.0, lambda: None).cancel()
    loop.after(0.01, loop.stop)
    loop.run()
    assert fired == [0, 1, 2, 3, 4]


@pytest.mark.real_processes
def test_a_finished_timer_drops_its_references_to_the_call() -> None:
    # A timer that keeps its callback forms a cycle that only the cyclic collector can free.
    loop, marker = Loop(), object()
    cancelled, due = loop.after(1000.0, print, marker), loop.after(0.0, get_callback_name, print)
    cancelled.cancel()
    loop.after(0.001, loop.stop)
    loop.run()
    assert marker not in gc.get_referents(cancelled)
    assert get_callback_name not in gc.get_referents(due)
    assert not due.live


def test_polls_leave_no_garbage_for_the_cyclic_collector() -> None:
    # Under many polls the collector's passes, over all objects of a leader, delayed heartbeats by
    # up to a second.
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001"))
    cluster.run(15.0)
    gc.collect()
    gc.disable()
    try:
        statuses: list[int] = []
        for number in range(POLL_COUNT):
            cluster.after(
                0.02 * number,
                cluster.call,
                cluster.names[number % len(cluster.names)],
                "GET",
                f"{wire.JOBS}/j-000001",
                None,
                lambda status, _: statuses.append(status),
            )
        cluster.run(0.02 * POLL_COUNT + 1.0)
        assert statuses.count(200) > POLL_COUNT * 0.9
        # Rare events like the cloud's list leave some garbage; each poll left over twenty objects.
        assert gc.collect() < POLL_COUNT / 2
    finally:
        gc.enable()


def test_requests_on_a_kept_connection_set_no_timer_of_their_own() -> None:
    # A timer per request would be the majority of all timers; each connection has only one.
    cluster = SimulatedCluster()
    cluster.run(5.0)
    host, timers_set = cluster.sim.hosts[cluster.ip(cluster.names[0])], list[str]()
    after = host.after

    def count_timer(delay: float, fn, *args):  # type: ignore[no-untyped-def]
        timers_set.append(get_callback_name(fn))
        return after(delay, fn, *args)

    host.after = count_timer  # type: ignore[method-assign]
    for number in range(50):
        cluster.after(
            0.05 * number, cluster.call, cluster.names[0], "GET", wire.HEALTH, None, ignore
        )
    cluster.run(4.0)
    assert sum(name.startswith("ServerConnection.") for name in timers_set) <= 5


def ignore(*_: object) -> None:
    pass


def test_a_connection_without_a_whole_request_is_closed_at_its_timeout() -> None:
    # Clients that never finish a request must not occupy connections indefinitely.
    cluster = SimulatedCluster()
    cluster.run(5.0)
    stream = cluster.user.connect((cluster.ip(cluster.names[0]), 8080))
    closed: list[float] = []
    stream.on_close = lambda: closed.append(cluster.sim.time)
    opened_at = cluster.sim.time
    for second in range(60):
        # One byte a second must not keep the connection open.
        cluster.after(float(second), stream.send, b"x")
    cluster.run(60.0)
    idle_timeout_s = 3 * 10.0
    assert closed
    assert idle_timeout_s - 1.0 <= closed[0] - opened_at <= idle_timeout_s + 2.0


def test_delays_are_reported_with_the_longest_callback_at_most_once_a_period() -> None:
    # Operators need the cause of a delay, without a log line for each late timer.
    reported: list[LoopDelay] = []
    monitor = DelayMonitor(0.25, 10.0, reported.append)
    monitor.record_callback(named_callback, 0.4)
    monitor.record_callback(ignore, 0.1)
    monitor.record_timer(0.2, 1.0)
    assert reported == []
    monitor.record_timer(0.5, 2.0)
    assert reported == [LoopDelay(0.5, 0.4, "named_callback")]
    monitor.record_timer(0.9, 5.0)
    monitor.record_callback(partial(ignore, 1), 0.7)
    assert len(reported) == 1
    monitor.record_timer(0.0, 12.0)
    assert reported[1:] == [LoopDelay(0.9, 0.7, "ignore")]


def named_callback() -> None:
    pass


class ClockSelector:
    """Replaces the loop's selector: nothing arrives, and waiting advances the clock."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time

    def select(self, wait: float | None) -> list[object]:
        self.time += wait or 0.0
        return []


def test_the_loop_reports_late_timers_with_their_cause() -> None:
    # A callback of 60 ms makes a timer that was due after 5 ms fire 55 ms late.
    loop, clock, reported = Loop(), ClockSelector(), list[LoopDelay]()
    loop.selector, loop.now = clock, clock.now  # type: ignore[assignment]
    loop.on_delay(0.02, 10.0, reported.append)

    def busy() -> None:
        clock.time += 0.06

    loop.after(0.0, busy)
    loop.after(0.005, lambda: None)
    loop.after(0.08, loop.stop)
    loop.run()
    assert len(reported) == 1
    assert reported[0].max_lateness_s == pytest.approx(0.055)
    assert reported[0].max_duration_s == pytest.approx(0.06)
    assert reported[0].callback.endswith("busy")


def test_a_connection_that_sends_without_waiting_for_replies_is_closed() -> None:
    # While a request was under way, everything that its connection received was buffered, without
    # a limit.
    cluster = SimulatedCluster()
    cluster.run(5.0)
    leader = wait_for_leader(cluster)
    follower = next(name for name in cluster.names if name != leader)
    stream = cluster.user.connect((cluster.ip(follower), 8080))
    closed: list[float] = []
    stream.on_close = lambda: closed.append(cluster.sim.time)
    cluster.freeze(leader, 2.0)
    stream.send(b"GET /work/j-000001 HTTP/1.1\r\n\r\n" + b"x" * MAX_BUFFERED_BYTES)
    stream.send(b"x")
    cluster.run(0.2)
    assert len(closed) == 1
    cluster.run(10.0)
    assert cluster.query_job("j-000001")[0] == 404
