"""One shard of claims at its home: decide, batch, write conditionally, recover."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.claims.decision import ClaimDecision, ClaimVerdict
from clementineyoke_core.claims.record import ClaimRecord, ClaimState
from clementineyoke_core.claims.segment import (
    RING_SLOTS,
    ChainHead,
    ChainRead,
    Segment,
    encode,
    head_name,
    segment_name,
)

if TYPE_CHECKING:
    from clementineyoke_core.claims.messages import ClaimAttempt, ClaimReport

KEEP_MS = 600_000
SPAN_MS = 20_000
"""How long a segment takes claims: only the open one is written, so it stays small."""
LARGEST_SEGMENT_BYTES = 350_000
LARGEST_KEPT_ANSWER_BYTES = 2_048


class WriteKind(Enum):
    """What a conditional update is for."""

    CLAIMS = "claims"
    SEAL = "seal"
    """No home can add to the segment after this."""
    HEAD = "head"
    """The next segment becomes the open one."""


class ChainWrite(NamedTuple):
    """A conditional update: write the body if the version still is the expected."""

    kind: WriteKind
    name: str
    expected_version: int
    """0 means that the object must not exist."""
    body: bytes
    result: Segment | ChainHead


class HeldClaim(NamedTuple):
    """A claim, and the number of the newest segment that holds it."""

    record: ClaimRecord
    number: int


class ClaimChain:
    """Hold the shard as last read or written; grant only what has been written.

    Versions are the fence. A home that was paused, or that lost its role, writes
    against an old version, is refused, reads again and decides anew. A write whose
    reply was lost is repeated after a read: if it had taken effect, the read shows
    this holder's record, which grants it.

    A shard written whole each time ended at 7,700 claims. It is therefore a chain of
    segments, and the danger is a paused home that adds a claim to a segment which the
    others have left: one key, two holders. So a segment is sealed, by the same kind
    of update that adds claims to it, before the head moves on.
    """

    def __init__(
        self, *, shard: str, retention_ms: int = KEEP_MS, span_ms: int = SPAN_MS
    ) -> None:
        self._shard = shard
        self._keep_ms = retention_ms
        self._span_ms = span_ms
        self._is_loaded = False
        self._head = ChainHead(0, 0)
        self._head_version = 0
        self._open = Segment(0, 0, False, {})
        self._open_version = 0
        self._open_bytes = 0
        self._closed_at_ms: dict[int, int] = {}
        self._slot_versions: dict[int, int] = {}
        self._view: dict[str, HeldClaim] = {}
        self._is_full = False

    @property
    def is_loaded(self) -> bool:
        """Return whether the shard was read and nothing since has put that in doubt."""
        return self._is_loaded

    def load(self, read: ChainRead) -> None:
        """Take what the platform holds."""
        self._is_loaded = True
        self._head = read.head
        self._head_version = read.head_version
        self._view = {}
        self._closed_at_ms = {}
        for number in range(read.head.first, read.head.open + 1):
            stored = read.segments[number]
            self._slot_versions[number % RING_SLOTS] = stored.version
            if stored.segment is not None:
                self._closed_at_ms[number - 1] = stored.segment.opened_at_ms
                self._hold(stored.segment)
        newest = read.segments[read.head.open]
        self._open = newest.segment or Segment(read.head.open, 0, False, {})
        self._open_version = newest.version
        self._open_bytes = 0 if newest.segment is None else len(encode(newest.segment))

    def mark_stale(self) -> None:
        """Forget that the shard was read, after a refused or a lost write."""
        self._is_loaded = False

    def apply_report(self, report: ClaimReport) -> None:
        """Take a report before it is durable, so that a repeat at once sees it."""
        held = self._view.get(report.key)
        record = _after_report(held and held.record, report)
        if held is not None and record is not None:
            self._view[report.key] = HeldClaim(record, held.number)

    def decide(self, claim: ClaimAttempt) -> ClaimDecision | None:
        """Answer from what is known, or None if the ask needs a write."""
        record = self._find(claim.key)
        if record is None or record.state is ClaimState.FREE:
            if self._is_full:
                return ClaimDecision(ClaimVerdict.UNAVAILABLE)
            return None
        if record.request_digest != claim.request_digest:
            return ClaimDecision(ClaimVerdict.MISMATCH)
        if record.state is ClaimState.FINISHED:
            return ClaimDecision(ClaimVerdict.ANSWERED, record.answer)
        if record.holder == claim.holder:
            return ClaimDecision(ClaimVerdict.GRANTED)
        return ClaimDecision(ClaimVerdict.UNKNOWN)

    def next_write(
        self, claims: list[ClaimAttempt], reports: list[ClaimReport], *, wall_ms: int
    ) -> ChainWrite:
        """Return the update that comes next.

        Only one of kind CLAIMS makes asks and reports durable; after a SEAL or a HEAD
        call again. Of two asks for one key in a batch the first gets the record, and
        ``decide`` tells the other. Raises ``RuntimeError`` if nothing was read.
        """
        if not self._is_loaded:
            message = "the shard must be read before it is written"
            raise RuntimeError(message)
        if self._open.is_sealed:
            return self._write_head(wall_ms)
        if self._is_to_seal(wall_ms):
            sealed = Segment(
                self._open.number, self._open.opened_at_ms, True, self._open.records
            )
            return self._write_segment(WriteKind.SEAL, sealed)
        self._is_full = self._open_bytes >= LARGEST_SEGMENT_BYTES
        if self._is_full:
            claims = []
        return self._write_claims(claims, reports, wall_ms)

    def record_written(self, write: ChainWrite, *, version: int) -> None:
        """Note that the platform accepted a write as this version."""
        if isinstance(write.result, ChainHead):
            self._begin_segment(write.result, version)
            return
        self._open = write.result
        self._open_version = version
        self._open_bytes = len(write.body)
        self._slot_versions[self._open.number % RING_SLOTS] = version
        self._closed_at_ms[self._open.number - 1] = self._open.opened_at_ms
        self._hold(self._open)

    def _write_claims(
        self, asks: list[ClaimAttempt], reports: list[ClaimReport], wall_ms: int
    ) -> ChainWrite:
        records = dict(self._open.records)
        for ask in asks:
            known = records.get(ask.key) or self._find(ask.key)
            if known is None or known.state is ClaimState.FREE:
                records[ask.key] = ClaimRecord(ask.holder, ask.request_digest, wall_ms)
        # Reports come second: a holder that gave up on its ask must leave no claim.
        for report in reports:
            known = records.get(report.key) or self._find(report.key)
            record = _after_report(known, report)
            if record is not None:
                records[report.key] = record
        opened_at_ms = self._open.opened_at_ms or wall_ms
        segment = Segment(self._open.number, opened_at_ms, False, records)
        return self._write_segment(WriteKind.CLAIMS, segment)

    def _write_segment(self, kind: WriteKind, segment: Segment) -> ChainWrite:
        name = segment_name(self._shard, segment.number)
        return ChainWrite(kind, name, self._open_version, encode(segment), segment)

    def _write_head(self, wall_ms: int) -> ChainWrite:
        following = self._head.open + 1
        # Whoever sealed found room in the ring, by a clock that may be ahead of ours.
        first = max(self._first_alive(wall_ms), following - RING_SLOTS + 1)
        head = ChainHead(first, following)
        name = head_name(self._shard)
        return ChainWrite(WriteKind.HEAD, name, self._head_version, encode(head), head)

    def _begin_segment(self, head: ChainHead, version: int) -> None:
        if head.first > self._head.first:
            self._view = {
                key: held
                for key, held in self._view.items()
                if held.number >= head.first
            }
        for number in range(self._head.first, head.first):
            self._closed_at_ms.pop(number, None)
        self._head = head
        self._head_version = version
        self._open = Segment(head.open, 0, False, {})
        self._open_version = self._slot_versions.get(head.open % RING_SLOTS, 0)
        self._open_bytes = 0

    def _is_to_seal(self, wall_ms: int) -> bool:
        alive = self._head.open + 1 - self._first_alive(wall_ms) + 1
        if not self._open.records or alive > RING_SLOTS:
            return False
        is_old = wall_ms - self._open.opened_at_ms >= self._span_ms
        return is_old or self._open_bytes >= LARGEST_SEGMENT_BYTES

    def _first_alive(self, wall_ms: int) -> int:
        first = self._head.first
        while first < self._head.open and self._is_expired(first, wall_ms):
            first += 1
        return first

    def _is_expired(self, number: int, wall_ms: int) -> bool:
        # A segment took claims until it was closed, which is when the next one opened.
        closed_at_ms = self._closed_at_ms.get(number)
        return closed_at_ms is not None and wall_ms - closed_at_ms >= self._keep_ms

    def _find(self, key: str) -> ClaimRecord | None:
        held = self._view.get(key)
        return None if held is None else held.record

    def _hold(self, segment: Segment) -> None:
        for key, record in segment.records.items():
            self._view[key] = HeldClaim(record, segment.number)


def _after_report(
    record: ClaimRecord | None, report: ClaimReport
) -> ClaimRecord | None:
    """Return the record as the report leaves it, or None if it is not the holder's.

    A late report of an expired claim must not touch the key's next holder.
    """
    if record is None or record.holder != report.holder:
        return None
    answer = report.answer
    if answer is not None and len(answer.body) > LARGEST_KEPT_ANSWER_BYTES:
        answer = None
    state = ClaimState.FINISHED if report.ran else ClaimState.FREE
    return ClaimRecord(
        record.holder, record.request_digest, record.claimed_at_ms, state, answer
    )
