"""The encoded messages: their fields, the order of these, and which are omitted."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from flaxtally.protocol import cloud, jobs, store, workers
from flaxtally.runtime.http import pack

COMMANDS = [workers.launch("j-000001/0", 1), workers.forget("j-000001/2", 3)]

SENT: dict[str, tuple[object, dict[str, Any]]] = {
    "launch": (workers.launch("j-1/0", 2), {"verb": "launch", "hand": "j-1/0", "try": 2}),
    "forget": (workers.forget("j-1/0", 2), {"verb": "reap", "hand": "j-1/0", "try": 2}),
    "stop": (
        workers.stop("j-1/0", 2, 7.5),
        {"verb": "stop", "hand": "j-1/0", "try": 2, "leewayS": 7.5},
    ),
    "stop at once": (
        workers.stop("j-1/0", 2, 0.0),
        {"verb": "stop", "hand": "j-1/0", "try": 2, "leewayS": 0.0},
    ),
    "batch": (
        workers.CommandBatch(7, 3, COMMANDS),
        {
            "baton": 7,
            "shift": 3,
            "orders": [
                {"verb": "launch", "hand": "j-000001/0", "try": 1},
                {"verb": "reap", "hand": "j-000001/2", "try": 3},
            ],
        },
    ),
    "empty batch": (workers.CommandBatch(7, 1, []), {"baton": 7, "shift": 1, "orders": []}),
    "heartbeat reply": (workers.HeartbeatReply(7), {"baton": 7, "orders": []}),
    "redirect": (workers.Redirect("controller-1"), {"foreman": "controller-1"}),
    "redirect to any": (workers.Redirect(), {}),
    "provision": (
        cloud.ProvisionRequest("c-7-1", "g8", "a", True, 3),
        {"hire": "c-7-1", "breed": "g8", "yard": "a", "loaner": True, "number": 3},
    ),
    "terminate": (cloud.TerminateRequest(["n-1"]), {"rigs": ["n-1"]}),
    "read barrier": (
        store.Transaction.build({"lead": 4}, {}, []),
        {"guards": [{"k": "lead", "stamp": 4}]},
    ),
    "transaction": (
        store.Transaction.build({}, {"a": {"x": 1}, "b": None}, ["c"]),
        {
            "guards": [],
            "apply": [{"put": "a", "v": {"x": 1}}, {"put": "b", "v": None}, {"drop": "c"}],
        },
    ),
    "transaction with a lease": (
        store.Transaction.build({"a": 0}, {"a": 1}, ["c"], lease=5),
        {
            "guards": [{"k": "a", "stamp": 0}],
            "apply": [{"put": "a", "v": 1, "tenure": 5}, {"drop": "c"}],
        },
    ),
    "lease": (store.LeaseRequest(1500), {"lifeMs": 1500}),
    "accepted": (jobs.JobStatus("j-000001", "pending"), {"ref": "j-000001", "stage": "pending"}),
    "status": (
        jobs.JobStatus("j-000001", "running", 0, 2),
        {"ref": "j-000001", "stage": "running", "done": 0, "running": 2},
    ),
    "status of a gang": (
        jobs.JobStatus("j-000001", "pending", 0, 0, attempt=0, waiting=0),
        {"ref": "j-000001", "stage": "pending", "done": 0, "running": 0, "try": 0, "waiting": 0},
    ),
}
"""Messages, and what must be on the wire, by name."""


@pytest.mark.parametrize("name", SENT)
def test_a_message_has_the_specified_bytes(name: str) -> None:
    # Workers, the cloud and the store read these bytes: a renamed, reordered or additional field
    # would break the protocol.
    message, sent = SENT[name]
    assert pack(message) == pack(sent)
    # Frames between controllers contain some of them as builtins.
    assert pack(msgspec.to_builtins(message)) == pack(sent)


@pytest.mark.parametrize("name", [name for name in SENT if not name.startswith("transaction")])
def test_a_sent_message_decodes_to_the_original(name: str) -> None:
    # Guards against fields that are decoded under another name or type than they are encoded.
    message, sent = SENT[name]
    assert msgspec.msgpack.decode(pack(sent), type=type(message)) == message


def test_a_write_of_none_differs_from_a_delete() -> None:
    # A write of None that was read as a delete would remove the key from the store.
    sent = store.Transaction.build({}, {"a": None}, ["b"])
    write, delete = msgspec.msgpack.decode(pack(sent), type=store.Transaction).changes
    assert (write.put, write.value, write.drop) == ("a", None, None)
    assert (delete.put, delete.value, delete.drop) == (None, msgspec.UNSET, "b")
