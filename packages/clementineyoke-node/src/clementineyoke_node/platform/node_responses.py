"""Encodes the responses that a node makes itself: addresses and errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from clementineyoke_node.platform import names

if TYPE_CHECKING:
    from collections.abc import Sequence

    from clementineyoke_core.node import Node

MS_PER_S = 1000.0
JSON_HEADERS = {"Content-Type": "application/json"}


def encode_addresses(nodes: Sequence[Node], *, ttl_ms: float) -> bytes:
    """Return the body of the response to a caller that asks for node addresses."""
    return msgspec.json.encode(
        {
            "addresses": [f"{node.address}:{node.caller_port}" for node in nodes],
            "ttlS": ttl_ms / MS_PER_S,
        }
    )


def encode_error(*, step: str, reason: str) -> bytes:
    """Return the body of a node's error response."""
    return msgspec.json.encode({"step": step, "reason": reason})


def error_headers(call_id: str, *, retry_after_ms: float | None) -> dict[str, str]:
    """Return the headers of a node's error response."""
    fields = dict(JSON_HEADERS)
    if call_id:
        fields[names.CALL_ID] = call_id
    if retry_after_ms is not None:
        fields[names.RETRY_AFTER] = f"{retry_after_ms / MS_PER_S:.3f}"
    return fields
