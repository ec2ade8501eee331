"""Under which requests runners have ended, and which are refused for it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

SUSPECTED_FROM = 2
"""Runners that ended one after the other under one request. One is ordinary: whatever
else was on a runner stood there as well."""
REFUSED_FROM = 3
"""A third runner is the last that a request may end, if nothing else explains it. With
two a call whose runner dies, and whose next one dies as well, would be refused for what
others did."""
CERTAIN_FROM = 4
"""Ends from which a request is refused though another suspected one was beside it: one
of the two is innocent, and its next copy is answered in most cases."""
REFUSED_MS = 300_000.0
"""How long a request is refused after the last runner that ended under it. Then one
more try is let through: the runners may have been mended, or it may never have been the
request's fault."""
RETENTION_MS = 600_000.0
"""How long an end is remembered: a request that ends a runner every few minutes is
known by the third one."""
ORDER_SLACK_MS = 40.0
"""How much the ways of two reports may differ, to a home in another region and on a
busy node: a call's second send follows on the first one's end within a millisecond."""
MAX_RECORDS = 2_048
"""When 100 runners with 64 calls each are killed at once, each of 410 nodes is told of
47 calls; the rest is for many such moments within the time that an end is kept."""
MAX_NAMED_RUNNERS = 6
"""Runners that are named in a record; more are only counted."""


class CrashRecord(NamedTuple):
    """What is known of one request."""

    clears: int = 0
    """How often it was found to be innocent: a runner ran it and lives."""
    crashes: int = 0
    """Runners that have ended under it since then, one after the other."""
    runners: tuple[str, ...] = ()
    """The last of those lifetimes."""
    last_ms: float = 0.0
    """When the last one ended, or the request was cleared; monotonic."""

    @property
    def rank(self) -> tuple[int, int]:
        """Of two records of one request the one that ranks higher is the newer."""
        return self.clears, self.crashes


EMPTY_RECORD = CrashRecord()


class CrashRecords:
    """Count, for each request by its mark, the runners that ended under it.

    A request may crash every runner that begins to run it. Each copy comes with a new
    id, at any node: judged by itself it is sent on like any other, and takes one more
    runner and the streams of all who are on it.

    Whoever is on a runner when it ends stands in the same light. Three things tell them
    apart. An end counts only for a copy that was sent after the end before: what a rack
    or a common kill takes at one moment is one end, on however many runners a request
    stood. An answer from any runner clears a request, because one that ends its runners
    is never answered. And an end counts less for whoever was beside a request under
    which more runners have ended.

    The verdict is worked out from the records each time. Were ends taken off the
    records for good, a wrong verdict on one who had bad luck would wipe out what is
    known of the request that it stood beside.
    """

    def __init__(self) -> None:
        self._records: dict[bytes, CrashRecord] = {}
        self._beside: dict[str, set[bytes]] = {}
        """The requests that were on a runner when it ended, by its lifetime."""

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any request, as on most days."""
        return not self._records

    def get(self, digest: bytes) -> CrashRecord:
        """Return what is known of a request."""
        return self._records.get(digest, EMPTY_RECORD)

    def is_suspect(self, digest: bytes) -> bool:
        """Whether several runners ended under a request, so that it is kept apart."""
        return self.get(digest).crashes >= SUSPECTED_FROM

    def refused_for_ms(self, digest: bytes, *, now_ms: float) -> float:
        """Return how much longer a request is refused; 0 if it may be sent."""
        record = self.get(digest)
        if record.crashes < REFUSED_FROM or not self._is_to_blame(digest, record):
            return 0.0
        return max(0.0, record.last_ms + REFUSED_MS - now_ms)

    def records_to_share(self) -> Iterator[tuple[bytes, CrashRecord]]:
        """Yield what every node should know: all but single ends."""
        for digest, record in self._records.items():
            if record.clears or record.crashes >= SUSPECTED_FROM:
                yield digest, record

    def record_crash(
        self, digest: bytes, *, lifetime: str, sent_ms: float, crashed_ms: float
    ) -> CrashRecord | None:
        """Note that a runner ended with a call on it that was sent at some time.

        Return the record if it has changed and every node should know it.
        """
        known = self.get(digest)
        if lifetime in known.runners:
            return None
        if sent_ms < known.last_ms - ORDER_SLACK_MS:
            # It was on this runner already when the one before ended, and both may
            # have ended by one cause; or it has been answered since.
            return None
        record = known._replace(
            crashes=known.crashes + 1,
            runners=(*known.runners, lifetime)[-MAX_NAMED_RUNNERS:],
            last_ms=crashed_ms,
        )
        self._put(digest, record, now_ms=crashed_ms)
        return record if record.crashes >= SUSPECTED_FROM else None

    def record_answer(self, digest: bytes, *, now_ms: float) -> CrashRecord | None:
        """Note that a runner answered a request, which clears it.

        Return the record if every node should know it.
        """
        known = self.get(digest)
        if not known.crashes:
            return None
        if known.crashes < SUSPECTED_FROM and not known.clears:
            self._delete(digest)
            return None
        cleared = CrashRecord(clears=known.clears + 1, last_ms=now_ms)
        self._put(digest, cleared, now_ms=now_ms)
        return cleared if known.crashes >= SUSPECTED_FROM else None

    def merge(self, digest: bytes, record: CrashRecord, *, now_ms: float) -> bool:
        """Take what a peer knows; return whether it is news."""
        if (
            record.rank <= self.get(digest).rank
            or record.last_ms + RETENTION_MS <= now_ms
        ):
            return False
        self._put(digest, record, now_ms=now_ms)
        return True

    def drop_expired(self, *, now_ms: float) -> None:
        """Forget what has not happened again for long."""
        old = [
            digest
            for digest, record in self._records.items()
            if record.last_ms + RETENTION_MS <= now_ms
        ]
        for digest in old:
            self._delete(digest)

    def _is_to_blame(self, digest: bytes, record: CrashRecord) -> bool:
        """Whether a request ended its runners, rather than one that was beside it."""
        explained = 0
        is_contested = False
        for runner in record.runners:
            others = [
                self._records[other].crashes
                for other in self._beside[runner]
                if other != digest
            ]
            most = max(others, default=0)
            explained += most > record.crashes
            is_contested |= most >= max(SUSPECTED_FROM, record.crashes - 1)
        blame = record.crashes - explained
        return blame >= (CERTAIN_FROM if is_contested else REFUSED_FROM)

    def _put(self, digest: bytes, record: CrashRecord, *, now_ms: float) -> None:
        if digest in self._records:
            self._delete(digest)
        elif len(self._records) >= MAX_RECORDS:
            self._make_room(now_ms)
        self._records[digest] = record
        for runner in record.runners:
            self._beside.setdefault(runner, set()).add(digest)

    def _delete(self, digest: bytes) -> None:
        record = self._records.pop(digest)
        for runner in record.runners:
            beside = self._beside[runner]
            beside.discard(digest)
            if not beside:
                del self._beside[runner]

    def _make_room(self, now_ms: float) -> None:
        """Forget what is old, or else the least and oldest of the records."""
        self.drop_expired(now_ms=now_ms)
        if len(self._records) < MAX_RECORDS:
            return
        least = min(self._records, key=self._weight)
        self._delete(least)

    def _weight(self, digest: bytes) -> tuple[int, float]:
        record = self._records[digest]
        return record.crashes, record.last_ms
