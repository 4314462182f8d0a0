"""Malformed input at many times the usual rate.

It must be rejected at once, cause no writes to the key-value store, and neither end a controller
nor change the leader.
"""

import struct

import pytest

from flaxtally.cluster.frame_codec import MAX_FRAME_BYTES, encode_frame
from flaxtally.protocol import wire

from .scenarios import term
from .simulated_cluster import SimulatedCluster, spec

REQUESTS_PER_S = 400


def create_idle_cluster() -> SimulatedCluster:
    cluster = SimulatedCluster()
    cluster.submit(spec("j-000001", tasks=2))
    cluster.run(15.0)
    assert cluster.count("j-000001") == 2
    return cluster


def count_store_changes(cluster: SimulatedCluster) -> int:
    """Returns the number of changes to the key-value store; each raises the revision by one."""
    return max(revision for _, revision, _ in cluster.state.rows.values())


@pytest.mark.parametrize(
    ("path", "body", "expected"),
    [
        (wire.JOBS, b"\xc1", 400),
        (wire.JOBS, {"ref": "x" * 300, "lane": 7}, 400),
        (wire.JOBS, [[[[[[1]]]]]], 400),
        (wire.HEARTBEAT, {"rig": 5}, 400),
        (wire.HEARTBEAT, b"\x91" * 500, 400),
    ],
)
def test_malformed_requests_are_rejected_at_once(path: str, body: object, expected: int) -> None:
    # Malformed requests that were forwarded or stored would load the leader or the key-value store.
    cluster = create_idle_cluster()
    before, initial_term = count_store_changes(cluster), term(cluster)
    replies: list[int] = []
    delays: list[float] = []

    def send_request(node: str) -> None:
        sent_at = cluster.sim.time

        def on_reply(status: int, _: object) -> None:
            replies.append(status)
            delays.append(cluster.sim.time - sent_at)

        cluster.call(node, "POST", path, body, on_reply)

    for number in range(2 * REQUESTS_PER_S):
        cluster.after(
            number / REQUESTS_PER_S, send_request, cluster.names[number % len(cluster.names)]
        )
    cluster.run(4.0)
    assert replies == [expected] * (2 * REQUESTS_PER_S)
    assert max(delays) < 0.5
    assert term(cluster) == initial_term
    # Only the leader's own lease is written meanwhile.
    assert count_store_changes(cluster) - before <= 8
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
def test_malformed_frames_close_only_their_connection(data: bytes) -> None:
    # Malformed frames, or frames from an unknown sender, must not affect any other connection or
    # be taken for messages of a leader.
    cluster = create_idle_cluster()
    initial_term, closed = term(cluster), list[int]()
    for number in range(200):

        def dial(number: int = number) -> None:
            stream = cluster.user.connect((cluster.ip("hearth-0"), 8081))
            stream.on_close = lambda: closed.append(number)
            stream.send(data)

        cluster.after(number * 0.01, dial)
    cluster.run(6.0)
    assert len(closed) == 200
    assert term(cluster) == initial_term
    assert cluster.query_job("j-000001")[1]["running"] == 2
