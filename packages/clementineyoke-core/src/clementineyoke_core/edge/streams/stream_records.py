"""Which software version began each stream, for callers that resume it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Iterator

RESUMPTION_TTL_MS = 60_000
"""How long after its route's timeout a stream may still be resumed."""
MAX_TTL_MS = 120_000
"""Longest time that a stream is remembered, whatever its route's timeout."""
MAX_RECORDS = 16_384
"""3 MB; beyond that the oldest records are dropped."""
MAX_ATTEMPT_ID_LENGTH = 128
UNKNOWN_VERSION = "(unknown)"
"""Stands for the version of a stream with which no runner can go on."""


class StreamRecord(NamedTuple):
    """The version and the pool that produce the events of a stream."""

    pool: int
    """Hash of the pool's name."""
    version: str
    expires_ms: float
    """Monotonic time until which the stream may be resumed."""
    is_ambiguous: bool = False
    """Whether the version is unknown, or streams of several versions or pools began
    under the same id."""


def stream_key(team: str | None, attempt_id: str) -> int:
    """Return the key of the stream that a caller's attempt begins.

    It contains the team, so that an id names only streams of the caller's own team.
    """
    return hash_text(f"{team or ''}\0{attempt_id}")


def is_attempt_id(text: str) -> bool:
    """Return whether a text may be the id of a caller's attempt."""
    return (
        0 < len(text) <= MAX_ATTEMPT_ID_LENGTH
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )


class StreamRecords:
    """Remember the version of each stream for as long as it may be resumed.

    Callers should not reuse ids: if they do, and the streams differ in version or pool,
    the record is ambiguous and names none.
    """

    def __init__(self) -> None:
        self._records: dict[int, StreamRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: int, *, now_ms: float) -> StreamRecord | None:
        """Return the record of a stream, or None if it is unknown or has expired."""
        record = self._records.get(key)
        return None if record is None or record.expires_ms <= now_ms else record

    def merge(self, key: int, record: StreamRecord, *, now_ms: float) -> None:
        """Add a record of this node or of a peer."""
        known = self.find(key, now_ms=now_ms)
        if known is not None:
            record = _merge(known, record)
        elif len(self._records) >= MAX_RECORDS:
            del self._records[next(iter(self._records))]
        self._records[key] = record

    def of_pool(
        self, pool: int, *, now_ms: float
    ) -> Iterator[tuple[int, StreamRecord]]:
        """Yield the keys and records of a pool's streams."""
        for key, record in self._records.items():
            if record.pool == pool and record.expires_ms > now_ms:
                yield key, record

    def remove(self, key: int) -> None:
        """Forget a stream."""
        self._records.pop(key, None)

    def drop_expired(self, *, now_ms: float) -> None:
        """Remove the records of streams that cannot be resumed any more."""
        self._records = {
            key: record
            for key, record in self._records.items()
            if record.expires_ms > now_ms
        }


def _merge(known: StreamRecord, record: StreamRecord) -> StreamRecord:
    differs = (known.pool, known.version) != (record.pool, record.version)
    return record._replace(
        expires_ms=max(known.expires_ms, record.expires_ms),
        is_ambiguous=known.is_ambiguous or record.is_ambiguous or differs,
    )
