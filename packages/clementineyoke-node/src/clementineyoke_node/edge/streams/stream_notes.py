"""Records of streams in the form that nodes send to each other."""

from __future__ import annotations

from clementineyoke_core.edge.streams.stream_records import MAX_TTL_MS, StreamRecord
from clementineyoke_wire.messages import StreamNote


def to_note(key: int, record: StreamRecord, *, now_ms: float) -> StreamNote:
    """Return a record in the form that is sent to peers."""
    ttl_ms = max(0, round(record.expires_ms - now_ms))
    return StreamNote(key, record.pool, record.version, record.is_ambiguous, ttl_ms)


def to_record(note: StreamNote, *, now_ms: float) -> StreamRecord:
    """Return the record that a peer has sent."""
    expires_ms = now_ms + min(MAX_TTL_MS, note.ttl_ms)
    return StreamRecord(note.pool, note.version, expires_ms, note.is_ambiguous)
