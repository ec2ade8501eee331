"""One shard of claims at its home node: decisions, batches and conditional writes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.claims.decision import ClaimDecision, ClaimVerdict
from clementineyoke_core.claims.record import ClaimRecord, ClaimState
from clementineyoke_core.claims.segment import (
    MAX_SEGMENTS,
    ChainHead,
    ChainRead,
    Segment,
    encode,
    head_name,
    segment_name,
)

if TYPE_CHECKING:
    from clementineyoke_core.claims.messages import ClaimAttempt, ClaimReport

RETENTION_MS = 600_000
SEGMENT_SPAN_MS = 20_000
"""How long a segment takes claims; the open one is rewritten, so it stays small."""
MAX_SEGMENT_BYTES = 350_000
MAX_STORED_ANSWER_BYTES = 2_048


class WriteKind(Enum):
    """Purpose of a conditional update."""

    CLAIMS = "claims"
    SEAL = "seal"
    """Seals the open segment; no home can add to it afterwards."""
    HEAD = "head"
    """Advances the head, which makes the next segment the open one."""


class ChainWrite(NamedTuple):
    """A conditional update: write the body if the object has the expected version."""

    kind: WriteKind
    name: str
    expected_version: int
    """0 if the object must not exist."""
    body: bytes
    result: Segment | ChainHead


class HeldClaim(NamedTuple):
    """A claim, and the number of the newest segment that contains it."""

    record: ClaimRecord
    number: int


class ClaimChain:
    """Hold the shard as last read or written; grant only claims that were written.

    Object versions fence the writes. A home that was paused, or is no longer the home,
    writes with an old version, is refused, reads the shard and decides again. A write
    whose reply was lost is repeated after a read: if it had taken effect, the read has
    this holder's record, which is then granted.

    A single object that is rewritten with each change would limit a shard to 7,700
    claims; a shard is therefore a chain of segments. A paused home could add a claim to
    a segment after the others have moved on to the next, so that one key has two
    holders. A segment is therefore sealed, by the same kind of update that adds claims
    to it, before the head advances.
    """

    def __init__(
        self,
        *,
        shard: str,
        retention_ms: int = RETENTION_MS,
        span_ms: int = SEGMENT_SPAN_MS,
    ) -> None:
        self._shard = shard
        self._retention_ms = retention_ms
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
        """Whether the shard was read and no write since then has failed."""
        return self._is_loaded

    def load(self, read: ChainRead) -> None:
        """Replace the state with what was read from the platform."""
        self._is_loaded = True
        self._head = read.head
        self._head_version = read.head_version
        self._view = {}
        self._closed_at_ms = {}
        for number in range(read.head.first, read.head.open + 1):
            stored = read.segments[number]
            self._slot_versions[number % MAX_SEGMENTS] = stored.version
            if stored.segment is not None:
                self._closed_at_ms[number - 1] = stored.segment.opened_at_ms
                self._add_to_view(stored.segment)
        newest = read.segments[read.head.open]
        self._open = newest.segment or Segment(read.head.open, 0, False, {})
        self._open_version = newest.version
        self._open_bytes = 0 if newest.segment is None else len(encode(newest.segment))

    def mark_stale(self) -> None:
        """Require a new read, after a write was refused or its reply lost."""
        self._is_loaded = False

    def apply_report(self, report: ClaimReport) -> None:
        """Apply a report before it is durable, for repeats that arrive until then."""
        held = self._view.get(report.key)
        record = _after_report(held and held.record, report)
        if held is not None and record is not None:
            self._view[report.key] = HeldClaim(record, held.number)

    def decide(self, claim: ClaimAttempt) -> ClaimDecision | None:
        """Return the decision on a claim, or None if it needs a write first."""
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
        """Return the next update to write.

        Only an update of kind CLAIMS contains the claims and reports; after a SEAL or a
        HEAD call this again. If a batch has two claims for one key, the first gets the
        record, and ``decide`` returns the decision on the other. Raises
        ``RuntimeError`` if the shard was not read.
        """
        if not self._is_loaded:
            message = "the shard must be read before it is written"
            raise RuntimeError(message)
        if self._open.is_sealed:
            return self._write_head(wall_ms)
        if self._must_seal(wall_ms):
            sealed = Segment(
                self._open.number, self._open.opened_at_ms, True, self._open.records
            )
            return self._write_segment(WriteKind.SEAL, sealed)
        self._is_full = self._open_bytes >= MAX_SEGMENT_BYTES
        if self._is_full:
            claims = []
        return self._write_claims(claims, reports, wall_ms)

    def record_written(self, write: ChainWrite, *, version: int) -> None:
        """Record that the platform accepted a write, with its new version."""
        if isinstance(write.result, ChainHead):
            self._begin_segment(write.result, version)
            return
        self._open = write.result
        self._open_version = version
        self._open_bytes = len(write.body)
        self._slot_versions[self._open.number % MAX_SEGMENTS] = version
        self._closed_at_ms[self._open.number - 1] = self._open.opened_at_ms
        self._add_to_view(self._open)

    def _write_claims(
        self, claims: list[ClaimAttempt], reports: list[ClaimReport], wall_ms: int
    ) -> ChainWrite:
        records = dict(self._open.records)
        for claim in claims:
            known = records.get(claim.key) or self._find(claim.key)
            if known is None or known.state is ClaimState.FREE:
                records[claim.key] = ClaimRecord(
                    claim.holder, claim.request_digest, wall_ms
                )
        # Reports are applied last: a holder that has given up must not keep its claim.
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
        next_number = self._head.open + 1
        # The home that sealed the open segment found the next ring slot free by its own
        # clock. If that clock is ahead of the local one, the segment in this slot still
        # counts as retained here, but has to be dropped so that the slot can be reused.
        first = max(self._first_retained(wall_ms), next_number - MAX_SEGMENTS + 1)
        head = ChainHead(first, next_number)
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
        self._open_version = self._slot_versions.get(head.open % MAX_SEGMENTS, 0)
        self._open_bytes = 0

    def _must_seal(self, wall_ms: int) -> bool:
        retained = self._head.open + 1 - self._first_retained(wall_ms) + 1
        if not self._open.records or retained > MAX_SEGMENTS:
            return False
        is_old = wall_ms - self._open.opened_at_ms >= self._span_ms
        return is_old or self._open_bytes >= MAX_SEGMENT_BYTES

    def _first_retained(self, wall_ms: int) -> int:
        first = self._head.first
        while first < self._head.open and self._is_expired(first, wall_ms):
            first += 1
        return first

    def _is_expired(self, number: int, wall_ms: int) -> bool:
        # A segment takes claims until the next one opens, so its age counts from then.
        closed_at_ms = self._closed_at_ms.get(number)
        return closed_at_ms is not None and wall_ms - closed_at_ms >= self._retention_ms

    def _find(self, key: str) -> ClaimRecord | None:
        held = self._view.get(key)
        return None if held is None else held.record

    def _add_to_view(self, segment: Segment) -> None:
        for key, record in segment.records.items():
            self._view[key] = HeldClaim(record, segment.number)


def _after_report(
    record: ClaimRecord | None, report: ClaimReport
) -> ClaimRecord | None:
    """Return the record after the report, or None if the report is not its holder's.

    A late report on an expired claim must not change the record of the key's next
    holder.
    """
    if record is None or record.holder != report.holder:
        return None
    answer = report.answer
    if answer is not None and len(answer.body) > MAX_STORED_ANSWER_BYTES:
        answer = None
    state = ClaimState.FINISHED if report.ran else ClaimState.FREE
    return ClaimRecord(
        record.holder, record.request_digest, record.claimed_at_ms, state, answer
    )
