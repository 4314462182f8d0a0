"""Malformed input at many times the usual rate: it is turned away at once, costs the state service
nothing, and neither ends a controller nor changes who leads.
"""

import struct

import pytest

from flaxtally.cluster.frame_codec import MAX_FRAME_BYTES, encode_frame
from flaxtally.protocol import wire

from .scenarios import term
from .simulated_cluster import SimulatedCluster, spec

A_SECOND = 400


def start_calm_cluster() -> SimulatedCluster:
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run(15.0)
    assert cluster.count("j-000001") == 2
    return cluster


def changes(cluster: SimulatedCluster) -> int:
    """Changes at the state service so far: revisions rise by one with each."""
    return max(stamp for _, stamp, _ in cluster.state.rows.values())


@pytest.mark.parametrize(
    ("path", "body", "expected"),
    [
        (wire.WORK, b"\xc1", 400),
        (wire.WORK, {"ref": "x" * 300, "lane": 7}, 400),
        (wire.WORK, [[[[[[1]]]]]], 400),
        (wire.BEAT, {"rig": 5}, 400),
        (wire.BEAT, b"\x91" * 500, 400),
    ],
)
def test_malformed_requests_are_answered_at_once(path: str, body: object, expected: int) -> None:
    cluster = start_calm_cluster()
    before, led = changes(cluster), term(cluster)
    answers: list[int] = []
    delays: list[float] = []

    def query_job(node: str) -> None:
        asked_at = cluster.sim.time

        def told(status: int, _: object) -> None:
            answers.append(status)
            delays.append(cluster.sim.time - asked_at)

        cluster.call(node, "POST", path, body, told)

    for number in range(2 * A_SECOND):
        cluster.after(number / A_SECOND, query_job, cluster.names[number % len(cluster.names)])
    cluster.run(4.0)
    assert answers == [expected] * (2 * A_SECOND)
    assert max(delays) < 0.5
    assert term(cluster) == led
    # The leader's own lease is all that is written meanwhile.
    assert changes(cluster) - before <= 8
    assert cluster.query_job("j-000001")[1]["running"] == 2


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">I", MAX_FRAME_BYTES + 1),
        struct.pack(">I", 3) + b"\xff\xff\xff",
        encode_frame({"k": "hello", "node": "nobody"}),
        encode_frame({"k": "hb", "term": 10**6, "leader": "hearth-0"}),
        encode_frame({"k": "hello", "node": "hearth-1"}) + struct.pack(">I", 1) + b"\x00",
    ],
)
def test_nonsense_between_controllers_ends_just_its_connection(data: bytes) -> None:
    cluster = start_calm_cluster()
    led, closed = term(cluster), list[int]()
    for number in range(200):

        def dial(number: int = number) -> None:
            stream = cluster.user.connect((cluster.ip("hearth-0"), 8081))
            stream.on_close = lambda: closed.append(number)
            stream.send(data)

        cluster.after(number * 0.01, dial)
    cluster.run(6.0)
    assert len(closed) == 200
    assert term(cluster) == led
    assert cluster.query_job("j-000001")[1]["running"] == 2
