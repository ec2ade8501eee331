"""Entries of runners and of nodes in the store."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Any, Literal, TypeVar

import msgspec

from clementineyoke_core.edge.crash_records import MAX_NAMED_RUNNERS
from clementineyoke_core.edge.node_capacity import MAX_CALLS_PER_S
from clementineyoke_core.edge.request_digest import DIGEST_BYTES
from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_core.node import Node
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_wire.messages import CrashNote

if TYPE_CHECKING:
    from clementineyoke_core.edge.crash_records import CrashRecord
    from clementineyoke_node.platform.store_page import StoredEntry

LEAVING = "draining"
MOST_COLD_MS = 600_000.0
"""Longer than any start takes; a larger figure is another writer's."""
MOST_SLOTS = 0xFFFF
LAST_PORT = 0xFFFF
MOST_COUNTED = 0xFFFF_FFFF
LAST_MOMENT_MS = 0xFFFF_FFFF_FFFF
"""What fits the messages between nodes."""


class _RunnerSpec(msgspec.Struct, rename="camel"):
    """A runner's entry, with every field that one has: fewer are not a runner's own."""

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    seq: int
    models: list[Any] = []
    born: int = 0
    """Not said by all runners."""


class _NodeSpec(msgspec.Struct, rename="camel"):
    address: str
    caller_port: int
    peer_port: int
    zone: str
    region: str
    calls_per_s: int = 0


class _CrashSpec(msgspec.Struct, rename="camel"):
    crashes: int
    runners: list[str]
    ended_at: int
    """When the last one ended, in Unix milliseconds."""


_Spec = TypeVar("_Spec", _RunnerSpec, _NodeSpec, _CrashSpec)


def decode_runner(entry: StoredEntry, *, region: str) -> RunnerRecord:
    """Decode a runner's entry; raises ``FormatError``.

    Other writers can put entries there as well. One with fields missing or of another
    type names nothing that a call could be sent to.
    """
    spec = _decode(entry, _RunnerSpec, step="decode_runner")
    try:
        address, port = split_address(spec.address)
        _check_range(spec.slots, 1, MOST_SLOTS)
        _check_range(spec.born, 0, LAST_MOMENT_MS)
    except ValueError as error:
        raise FormatError(
            step="decode_runner", peer=entry.name, reason=str(error)
        ) from error
    runner = Runner(
        runner_id=entry.name,
        address=address,
        port=port,
        availability_zone=spec.zone,
        region=region,
        kind=RunnerKind.ENGINE if spec.models else RunnerKind.SERVICE,
        pool=spec.service,
        slots=spec.slots,
        born_ms=spec.born,
    )
    cold_ms = min(MOST_COLD_MS, max(0.0, spec.cold_remaining_ms))
    return RunnerRecord(runner, spec.state == LEAVING, entry.revision, cold_ms)


def lifetime_of(entry: StoredEntry) -> int:
    """Return when the runner of an entry that ended was born; 0 if it did not say."""
    try:
        born_ms = _decode(entry, _RunnerSpec, step="decode_runner").born
        _check_range(born_ms, 0, LAST_MOMENT_MS)
    except (FormatError, ValueError):
        return 0  # the end of what names no runner is told by its name alone
    return born_ms


def encode_node(node: Node) -> dict[str, Any]:
    """Return a node's own entry."""
    return {
        "address": node.address,
        "callerPort": node.caller_port,
        "peerPort": node.peer_port,
        "zone": node.availability_zone,
        "region": node.region,
        "callsPerS": node.calls_per_s,
    }


def decode_node(entry: StoredEntry) -> Node:
    """Decode a node's entry; raises ``FormatError``."""
    spec = _decode(entry, _NodeSpec, step="decode_node")
    try:
        IPv4Address(spec.address)
        _check_range(spec.caller_port, 1, LAST_PORT)
        _check_range(spec.peer_port, 1, LAST_PORT)
        _check_range(spec.calls_per_s, 0, MAX_CALLS_PER_S)
    except ValueError as error:
        raise FormatError(
            step="decode_node", peer=entry.name, reason=str(error)
        ) from error
    return Node(
        node_id=entry.name,
        address=spec.address,
        caller_port=spec.caller_port,
        peer_port=spec.peer_port,
        availability_zone=spec.zone,
        region=spec.region,
        calls_per_s=spec.calls_per_s,
    )


def encode_crash(record: CrashRecord, *, ended_at_ms: int) -> dict[str, Any]:
    """Return the entry of a request under which runners have ended."""
    return {
        "crashes": record.crashes,
        "runners": list(record.runners),
        "endedAt": ended_at_ms,
    }


def decode_crash(entry: StoredEntry, *, wall_ms: int) -> CrashNote:
    """Decode such an entry, named by the request's mark; raises ``FormatError``."""
    spec = _decode(entry, _CrashSpec, step="decode_crash")
    try:
        digest = bytes.fromhex(entry.name)
        _check_range(len(digest), DIGEST_BYTES, DIGEST_BYTES)
        _check_range(spec.crashes, 1, MOST_COUNTED)
        _check_range(spec.ended_at, 0, LAST_MOMENT_MS)
    except ValueError as error:
        raise FormatError(
            step="decode_crash", peer=entry.name, reason=str(error)
        ) from error
    # The clock of who wrote it may be ahead of the one here.
    age_ms = min(MOST_COUNTED, max(0, wall_ms - spec.ended_at))
    return CrashNote(digest, 0, spec.crashes, spec.runners[:MAX_NAMED_RUNNERS], age_ms)


def split_address(text: str) -> tuple[str, int]:
    """Return IP number and port of an address; raises ``ValueError``."""
    address, _, port_text = text.rpartition(":")
    port = int(port_text)
    _check_range(port, 1, LAST_PORT)
    return str(IPv4Address(address)), port


def _check_range(value: int, least: int, most: int) -> None:
    if not least <= value <= most:
        message = f"{value} is not between {least} and {most}"
        raise ValueError(message)


def _decode(entry: StoredEntry, kind: type[_Spec], *, step: str) -> _Spec:
    try:
        return msgspec.json.decode(entry.spec, type=kind)
    except ValueError as error:
        raise FormatError(step=step, peer=entry.name, reason=str(error)) from error
