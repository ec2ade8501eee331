"""Requests that were running on crashed runners, and which of them are refused."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

CRASHES_TO_SUSPECT = 2
"""Successive runners that crashed while running one request. A single crash proves
nothing: every other request on the runner was there as well."""
CRASHES_TO_REFUSE = 3
"""Crashes after which a request is refused if no other request explains them. With 2, a
call that loses two runners in a row to other causes would be refused."""
CRASHES_TO_REFUSE_CONTESTED = 4
"""Crashes after which a request is refused although another suspected request ran on
the same runners. One of the two is harmless, and its next copy is usually answered
before the other reaches this number."""
REFUSAL_MS = 300_000.0
"""How long a request is refused after its latest crash. Then one more attempt is let
through: the runners may have been fixed, or the request was not the cause."""
RETENTION_MS = 600_000.0
"""How long a crash is remembered. It must span three crashes of a request that crashes
a runner every few minutes."""
REPORT_ORDER_TOLERANCE_MS = 40.0
"""Tolerated difference in the delays of two crash reports, for a home node in another
region or a busy node. A call is sent to its second runner within a millisecond of the
first one's crash, so a late first report seems to follow the second send."""
MAX_RECORDS = 2_048
"""When 100 runners with 64 calls each are killed at once, each of 410 nodes gets
reports of 47 calls. The limit leaves room for many such events within the retention
time."""
MAX_NAMED_RUNNERS = 6
"""Runners listed by name in a record; further ones are only counted."""


class CrashRecord(NamedTuple):
    """Crash history of one request."""

    clears: int = 0
    """How often the request was cleared because a runner answered it and survived."""
    crashes: int = 0
    """Successive runners that have crashed while running it since it was cleared."""
    runners: tuple[str, ...] = ()
    """Lifetimes of the latest of these runners."""
    last_ms: float = 0.0
    """Monotonic time of the latest crash or, without one, of the clearing."""

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key of a request's records; the newer one ranks higher."""
        return self.clears, self.crashes


EMPTY_RECORD = CrashRecord()


class CrashRecords:
    """Count, for each request digest, the runners that crashed while running it.

    A request may crash every runner that starts to run it. Each copy arrives with a new
    id at any node. Judged on its own, a copy is routed like any other request and takes
    down one more runner with all streams on it.

    Every request on a runner is a suspect when the runner crashes. Three rules separate
    the cause from the others. A crash counts only for a copy that was sent after the
    previous crash, so runners that are lost together, for example with their rack,
    count as one crash however many of them ran the request. A response from any runner
    clears a request, because a request that crashes its runners is never answered. A
    crash is not held against a request if another request with more crashes was on the
    same runner.

    The decision is derived from the records each time. If explained crashes were
    removed from the records, a wrong decision against a harmless request would erase
    the evidence against the request that ran next to it.
    """

    def __init__(self) -> None:
        self._records: dict[bytes, CrashRecord] = {}
        self._requests_by_lifetime: dict[str, set[bytes]] = {}
        """Digests of the requests on a runner when it crashed, by its lifetime."""

    @property
    def is_empty(self) -> bool:
        """Return whether no request has a record."""
        return not self._records

    def get(self, digest: bytes) -> CrashRecord:
        """Return the record of a request; an empty one if there is none."""
        return self._records.get(digest, EMPTY_RECORD)

    def is_suspect(self, digest: bytes) -> bool:
        """Return whether a request had enough crashes to be isolated from others."""
        return self.get(digest).crashes >= CRASHES_TO_SUSPECT

    def refused_for_ms(self, digest: bytes, *, now_ms: float) -> float:
        """Return how much longer a request is refused; 0 if it may be sent."""
        record = self.get(digest)
        if record.crashes < CRASHES_TO_REFUSE or not self._is_likely_cause(
            digest, record
        ):
            return 0.0
        return max(0.0, record.last_ms + REFUSAL_MS - now_ms)

    def records_to_share(self) -> Iterator[tuple[bytes, CrashRecord]]:
        """Yield the records that every node should have: all but single crashes."""
        for digest, record in self._records.items():
            if record.clears or record.crashes >= CRASHES_TO_SUSPECT:
                yield digest, record

    def record_crash(
        self, digest: bytes, *, lifetime: str, sent_ms: float, crashed_ms: float
    ) -> CrashRecord | None:
        """Record that a runner crashed while running a call sent at the given time.

        Return the record if it has changed and should be shared with every node.
        """
        known = self.get(digest)
        if lifetime in known.runners:
            return None
        if sent_ms < known.last_ms - REPORT_ORDER_TOLERANCE_MS:
            # The call was on this runner before the previous crash, so both runners may
            # have crashed for one cause; or the request has been answered since.
            return None
        record = known._replace(
            crashes=known.crashes + 1,
            runners=(*known.runners, lifetime)[-MAX_NAMED_RUNNERS:],
            last_ms=crashed_ms,
        )
        self._put(digest, record, now_ms=crashed_ms)
        return record if record.crashes >= CRASHES_TO_SUSPECT else None

    def record_answer(self, digest: bytes, *, now_ms: float) -> CrashRecord | None:
        """Record that a runner answered a request, which clears the request.

        Return the record if it should be shared with every node.
        """
        known = self.get(digest)
        if not known.crashes:
            return None
        if known.crashes < CRASHES_TO_SUSPECT and not known.clears:
            self._delete(digest)
            return None
        cleared = CrashRecord(clears=known.clears + 1, last_ms=now_ms)
        self._put(digest, cleared, now_ms=now_ms)
        return cleared if known.crashes >= CRASHES_TO_SUSPECT else None

    def merge(self, digest: bytes, record: CrashRecord, *, now_ms: float) -> bool:
        """Merge a record from a peer; return whether it is newer than the known one."""
        if (
            record.rank <= self.get(digest).rank
            or record.last_ms + RETENTION_MS <= now_ms
        ):
            return False
        self._put(digest, record, now_ms=now_ms)
        return True

    def drop_expired(self, *, now_ms: float) -> None:
        """Drop records that have not changed within the retention time."""
        expired = [
            digest
            for digest, record in self._records.items()
            if record.last_ms + RETENTION_MS <= now_ms
        ]
        for digest in expired:
            self._delete(digest)

    def _is_likely_cause(self, digest: bytes, record: CrashRecord) -> bool:
        """Return whether a request is the likely cause, rather than one next to it."""
        explained = 0
        is_contested = False
        for runner in record.runners:
            others = [
                self._records[other].crashes
                for other in self._requests_by_lifetime[runner]
                if other != digest
            ]
            max_crashes = max(others, default=0)
            explained += max_crashes > record.crashes
            is_contested |= max_crashes >= max(CRASHES_TO_SUSPECT, record.crashes - 1)
        unexplained = record.crashes - explained
        return unexplained >= (
            CRASHES_TO_REFUSE_CONTESTED if is_contested else CRASHES_TO_REFUSE
        )

    def _put(self, digest: bytes, record: CrashRecord, *, now_ms: float) -> None:
        if digest in self._records:
            self._delete(digest)
        elif len(self._records) >= MAX_RECORDS:
            self._evict(now_ms)
        self._records[digest] = record
        for runner in record.runners:
            self._requests_by_lifetime.setdefault(runner, set()).add(digest)

    def _delete(self, digest: bytes) -> None:
        record = self._records.pop(digest)
        for runner in record.runners:
            requests = self._requests_by_lifetime[runner]
            requests.discard(digest)
            if not requests:
                del self._requests_by_lifetime[runner]

    def _evict(self, now_ms: float) -> None:
        """Drop expired records or, without any, the oldest with the fewest crashes."""
        self.drop_expired(now_ms=now_ms)
        if len(self._records) < MAX_RECORDS:
            return
        evicted = min(self._records, key=self._eviction_key)
        self._delete(evicted)

    def _eviction_key(self, digest: bytes) -> tuple[int, float]:
        record = self._records[digest]
        return record.crashes, record.last_ms
