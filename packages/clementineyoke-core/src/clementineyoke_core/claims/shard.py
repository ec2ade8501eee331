"""One shard of claims at its home: decide, batch, write conditionally, recover."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.claims.decision import ClaimDecision, ClaimVerdict
from clementineyoke_core.claims.record import (
    ClaimRecord,
    KeptAnswer,
    decode_shard,
    encode_shard,
)

KEEP_MS = 600_000
LARGEST_SHARD_BYTES = 700_000
"""Well under the platform's megabyte a value."""
LARGEST_KEPT_ANSWER_BYTES = 2_048


class ClaimAsk(NamedTuple):
    """A request that wants to run once under a key."""

    key: str
    holder: str
    request_digest: str


class ClaimReport(NamedTuple):
    """What a holder says became of its claim."""

    key: str
    holder: str
    ran: bool
    answer: KeptAnswer | None = None


class ShardWrite(NamedTuple):
    """A conditional update: write the body if the version still is the expected."""

    expected_version: int
    """0 means that the object must not exist."""
    body: bytes


class ClaimShard:
    """Hold the shard as last read or written; grant only what has been written.

    The object's version is the fence. A home that was paused, or that lost its role,
    writes against an old version, is refused, reads again and decides anew. A write
    whose reply was lost is repeated with the same version: if it had taken effect
    the repeat is refused, and the read shows this holder's record, which grants it.
    """

    def __init__(self, *, keep_ms: int = KEEP_MS) -> None:
        self._keep_ms = keep_ms
        self._version: int | None = None
        self._records: dict[str, ClaimRecord] = {}
        self._size_bytes = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the shard was read and nothing since has put that in doubt."""
        return self._version is not None

    @property
    def record_count(self) -> int:
        """How many claims the shard holds."""
        return len(self._records)

    def load(self, *, version: int, body: bytes | None) -> None:
        """Take what the platform holds; version 0 and no body for no object."""
        self._version = version
        self._records = {} if body is None else decode_shard(body)
        self._size_bytes = 0 if body is None else len(body)

    def distrust(self) -> None:
        """Forget that the shard was read, after a refused or a lost write."""
        self._version = None

    def note(self, report: ClaimReport) -> None:
        """Take a report before it is durable, so that a repeat at once sees it."""
        self._take_report(self._records, report)

    def decide(self, ask: ClaimAsk) -> ClaimDecision | None:
        """Answer from what is durable, or None if the ask needs a write."""
        record = self._records.get(ask.key)
        if record is None:
            if self._size_bytes >= LARGEST_SHARD_BYTES:
                return ClaimDecision(ClaimVerdict.UNAVAILABLE)
            return None
        if record.request_digest != ask.request_digest:
            return ClaimDecision(ClaimVerdict.MISMATCH)
        if record.finished:
            return ClaimDecision(ClaimVerdict.ANSWERED, record.answer)
        if record.holder == ask.holder:
            return ClaimDecision(ClaimVerdict.GRANTED)
        return ClaimDecision(ClaimVerdict.UNKNOWN)

    def prepare_write(
        self, asks: list[ClaimAsk], reports: list[ClaimReport], *, wall_ms: int
    ) -> ShardWrite:
        """Return the update that makes asks and reports durable.

        Of two asks for one key in a batch the first gets the record; ``decide`` after
        the write tells the other that the key is taken. Raises ``RuntimeError`` if the
        shard is not loaded.
        """
        if self._version is None:
            message = "the shard must be read before it is written"
            raise RuntimeError(message)
        records = {
            key: record
            for key, record in self._records.items()
            if wall_ms - record.claimed_at_ms < self._keep_ms
        }
        for ask in asks:
            records.setdefault(
                ask.key, ClaimRecord(ask.holder, ask.request_digest, wall_ms)
            )
        # Reports come second: a holder that gave up on its ask must not leave a record.
        for report in reports:
            self._take_report(records, report)
        return ShardWrite(self._version, encode_shard(records))

    def written(self, write: ShardWrite, *, version: int) -> None:
        """Note that the platform accepted a write as this version."""
        self.load(version=version, body=write.body)

    def _take_report(
        self, records: dict[str, ClaimRecord], report: ClaimReport
    ) -> None:
        record = records.get(report.key)
        # A late report of an expired claim must not touch the key's next holder.
        if record is None or record.holder != report.holder:
            return
        if not report.ran:
            del records[report.key]
            return
        answer = report.answer
        if answer is not None and len(answer.body) > LARGEST_KEPT_ANSWER_BYTES:
            answer = None
        records[report.key] = ClaimRecord(
            record.holder, record.request_digest, record.claimed_at_ms, True, answer
        )
