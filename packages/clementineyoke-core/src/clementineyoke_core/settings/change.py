"""One accepted change of settings: an entry of the log."""

from __future__ import annotations

from typing import Any

import msgspec


class SettingsChange(msgspec.Struct, frozen=True, kw_only=True):
    """Edits of several paths that take effect together.

    The log holds one object a version, created only if it is not there: creating it
    is the commit, and of two racing operators one finds it taken.
    """

    version: int
    nonce: str
    """Tells the writer its own change when the reply of the write was lost."""
    author: str
    note: str
    at_ms: int
    """Wall clock of the writer, for people; decides nothing."""
    edits: dict[str, dict[str, Any] | None]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(SettingsChange)


def encode_change(change: SettingsChange) -> bytes:
    """Return the bytes that the platform keeps."""
    return _encoder.encode(change)


def decode_change(body: bytes) -> SettingsChange:
    """Read a change; raises ``msgspec.DecodeError`` on anything else."""
    return _decoder.decode(body)
