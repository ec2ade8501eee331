"""Accepted change of settings, an entry of the log."""

from __future__ import annotations

from typing import Any

import msgspec


class SettingsChange(msgspec.Struct, frozen=True, kw_only=True):
    """Edits of one or more paths that take effect together.

    The log has one object per version, written only if it does not exist: creating the
    object is the commit, and of two concurrent writers one fails.
    """

    version: int
    nonce: str
    """Identifies the writer's own change if the reply to its write was lost."""
    author: str
    note: str
    at_ms: int
    """Wall clock of the writer; for information only."""
    edits: dict[str, dict[str, Any] | None]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(SettingsChange)


def encode_change(change: SettingsChange) -> bytes:
    """Encode a change for the platform."""
    return _encoder.encode(change)


def decode_change(body: bytes) -> SettingsChange:
    """Decode a change; raise ``msgspec.DecodeError`` if the body is not one."""
    return _decoder.decode(body)
