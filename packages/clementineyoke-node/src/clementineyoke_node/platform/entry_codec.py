"""Encodes and decodes the store's entries for runners, nodes and crashes."""

from __future__ import annotations

import re
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Any, Literal, TypeVar

import msgspec

from clementineyoke_core.edge.crash_factors import PART_DIGEST_BYTES
from clementineyoke_core.edge.crash_records import (
    MAX_COMPANIONS,
    MAX_NAMED_RUNNERS,
    MAX_TEAMS,
    Crash,
    CrashRecord,
)
from clementineyoke_core.edge.node_capacity import MAX_CALLS_PER_S
from clementineyoke_core.edge.request_digest import DIGEST_BYTES
from clementineyoke_core.edge.runner_record import RunnerRecord
from clementineyoke_core.node import Node
from clementineyoke_core.runner import Runner, RunnerKind
from clementineyoke_node.edge.crash_notes import to_note
from clementineyoke_node.platform.format_error import FormatError

if TYPE_CHECKING:
    from clementineyoke_node.platform.store_page import StoredEntry
    from clementineyoke_wire.messages import CrashNote

STATE_DRAINING = "draining"
MAX_COLD_MS = 600_000.0
"""No start takes longer; larger values are reduced to this."""
MAX_SLOTS = 0xFFFF
MAX_VERSION_LENGTH = 64
"""Longer versions are cut off, as each message about a runner carries its version."""
MAX_PORT = 0xFFFF
MAX_QUOTED_LENGTH = 32
"""Of a text of another writer in an error."""
_PORT = re.compile(r"[0-9]{1,5}")
"""``int`` also accepts ``1_0``, signs, spaces and digits of other scripts."""
MAX_UINT32 = 0xFFFF_FFFF
MAX_UINT64 = 0xFFFF_FFFF_FFFF_FFFF
MAX_TIMESTAMP_MS = 0xFFFF_FFFF_FFFF
"""The range of the fields in messages between nodes."""


class _RunnerSpec(msgspec.Struct, rename="camel"):
    """A runner's entry; one that lacks a required field was not written by a runner."""

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
    """Start time in Unix milliseconds; not set by all runners."""


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
    """Time of the latest crash, in Unix milliseconds."""
    companions: list[list[str]] = []
    """For each of ``runners``, digests of other factors of the calls on it."""
    teams: list[int] = []
    was_answered: bool = False


_Spec = TypeVar("_Spec", _RunnerSpec, _NodeSpec, _CrashSpec)


def decode_runner(entry: StoredEntry, *, region: str) -> RunnerRecord:
    """Decode a runner's entry; raises ``FormatError``.

    Other writers can create entries there as well. One with missing fields or fields of
    another type does not describe a runner that a call could be sent to.
    """
    spec = _decode(entry, _RunnerSpec, step="decode_runner")
    try:
        address, port = split_address(spec.address)
        _check_range(spec.slots, 1, MAX_SLOTS)
        _check_range(spec.born, 0, MAX_TIMESTAMP_MS)
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
        version=spec.version[:MAX_VERSION_LENGTH],
    )
    cold_ms = min(MAX_COLD_MS, max(0.0, spec.cold_remaining_ms))
    return RunnerRecord(runner, spec.state == STATE_DRAINING, entry.revision, cold_ms)


def decode_born_ms(entry: StoredEntry) -> int:
    """Return the start time of a removed entry's runner; 0 if the entry has none."""
    try:
        born_ms = _decode(entry, _RunnerSpec, step="decode_runner").born
        _check_range(born_ms, 0, MAX_TIMESTAMP_MS)
    except (FormatError, ValueError):
        return 0  # an entry that cannot be decoded is identified by its name alone
    return born_ms


def encode_node(node: Node) -> dict[str, Any]:
    """Return a node's entry."""
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
        _check_range(spec.caller_port, 1, MAX_PORT)
        _check_range(spec.peer_port, 1, MAX_PORT)
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
    """Return the entry of a factor that has crashed runners."""
    return {
        "crashes": record.crashes,
        "runners": list(record.runners),
        "endedAt": ended_at_ms,
        "companions": [[c.hex() for c in crash.companions] for crash in record.history],
        "teams": list(record.teams),
        "wasAnswered": record.was_answered,
    }


def decode_crash(entry: StoredEntry, *, wall_ms: int) -> CrashNote:
    """Decode the entry of a factor that has crashed runners; raises ``FormatError``.

    The entry's name is the factor's digest in hex.
    """
    spec = _decode(entry, _CrashSpec, step="decode_crash")
    try:
        digest = _decode_digest(entry.name)
        runners = spec.runners[:MAX_NAMED_RUNNERS]
        # Entries of an earlier release have no companions.
        companions = [*spec.companions, *([[]] * len(runners))]
        history = tuple(
            Crash(runner, 0.0, tuple(map(_decode_digest, listed[:MAX_COMPANIONS])))
            for runner, listed in zip(runners, companions, strict=False)
        )
        for team in spec.teams:
            _check_range(team, 0, MAX_UINT64)
        _check_range(spec.crashes, 1, MAX_UINT32)
        _check_range(spec.ended_at, 0, MAX_TIMESTAMP_MS)
    except ValueError as error:
        raise FormatError(
            step="decode_crash", peer=entry.name, reason=str(error)
        ) from error
    # The clock of the node that wrote the entry may be ahead of this node's.
    age_ms = min(MAX_UINT32, max(0, wall_ms - spec.ended_at))
    record = CrashRecord(
        crashes=spec.crashes,
        history=history,
        teams=tuple(spec.teams[:MAX_TEAMS]),
        was_answered=spec.was_answered,
    )
    return to_note(digest, record, now_ms=age_ms)


def _decode_digest(text: str) -> bytes:
    digest = bytes.fromhex(text)
    if len(digest) not in (DIGEST_BYTES, PART_DIGEST_BYTES):
        message = f"a digest of {len(digest)} bytes"
        raise ValueError(message)
    return digest


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and port of IP:PORT; raises ``ValueError``."""
    address, _, port_text = text.rpartition(":")
    if not _PORT.fullmatch(port_text):
        message = f"{port_text[:MAX_QUOTED_LENGTH]!r} is not a port"
        raise ValueError(message)
    port = int(port_text)
    _check_range(port, 1, MAX_PORT)
    return str(IPv4Address(address)), port


def _check_range(value: int, min_value: int, max_value: int) -> None:
    if not min_value <= value <= max_value:
        message = f"{value} is not between {min_value} and {max_value}"
        raise ValueError(message)


def _decode(entry: StoredEntry, kind: type[_Spec], *, step: str) -> _Spec:
    try:
        return msgspec.json.decode(entry.spec, type=kind)
    except (ValueError, RecursionError) as error:
        raise FormatError(step=step, peer=entry.name, reason=str(error)) from error
