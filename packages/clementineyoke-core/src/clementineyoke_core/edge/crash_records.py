"""Crash histories of the factors of calls that were running on crashed runners."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

CRASHES_TO_SUSPECT = 2
"""Successive runners that crashed while running calls with one factor. A single crash
proves nothing: the factors of every other call on the runner were there as well."""
RETENTION_MS = 600_000.0
"""How long a crash is remembered. It must span three crashes of a request that crashes
a runner every few minutes."""
REPORT_ORDER_TOLERANCE_MS = 40.0
"""Tolerated difference in the delays of two crash reports, for a home node in another
region or a busy node. A call is sent to its second runner within a millisecond of the
first one's crash, so a late first report seems to follow the second send."""
MAX_RECORDS = 4_096
"""When 100 runners with 64 calls of five factors each are killed at once, each of 410
nodes keeps records of 234 factors. The limit leaves room for many such events within
the retention time."""
MAX_NAMED_RUNNERS = 8
"""Runners listed by name in a record; further ones are only counted."""
MAX_COMPANIONS = 16
"""Factors that a record lists for each runner."""
MAX_TEAMS = 4
"""Teams listed in a record."""

Item = TypeVar("Item")


class CrashRecord(NamedTuple):
    """Crash history of one factor."""

    clears: int = 0
    """How often the factor was cleared because a call with it was answered."""
    crashes: int = 0
    """Successive runners that have crashed under the factor since it was cleared."""
    runners: tuple[str, ...] = ()
    """Lifetimes of the latest of these runners."""
    last_ms: float = 0.0
    """Monotonic time of the latest crash or, without one, of the clearing."""
    companions: tuple[tuple[bytes, ...], ...] = ()
    """For each of ``runners``, other factors of the calls with this factor on it."""
    teams: tuple[int, ...] = ()
    """Teams whose calls with the factor were on the runners; empty for any team."""
    times_ms: tuple[float, ...] = ()
    """When each of ``runners`` crashed; empty if only ``last_ms`` is known."""
    was_answered: bool = False
    """Whether calls with the factor were answered before the first of the crashes."""

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key of a factor's records; the newer one ranks higher."""
        return self.clears, self.crashes

    @property
    def crashes_ms(self) -> dict[str, float]:
        """Return when each of ``runners`` crashed, but not earlier than that."""
        if len(self.times_ms) < len(self.runners):
            return dict.fromkeys(self.runners, self.last_ms)
        return dict(zip(self.runners, self.times_ms, strict=True))

    def companions_by_runner(self) -> list[tuple[str, tuple[bytes, ...]]]:
        """Return the companions for each of ``runners``, if they are known."""
        missing = len(self.runners) - len(self.companions)
        companions = (*self.companions, *((),) * missing)
        return list(zip(self.runners, companions, strict=False))

    @property
    def is_shared(self) -> bool:
        """Return whether every node should have the record."""
        return self.clears > 0 or self.crashes >= CRASHES_TO_SUSPECT

    def concerns(self, team: int) -> bool:
        """Return whether the record says anything about a team's calls.

        The id of a part is a caller's claim. The crashes of one team's calls count for
        others only once calls of a second team have crashed runners as well.
        """
        return not self.teams or team in self.teams or len(self.teams) > 1


EMPTY_RECORD = CrashRecord()


class CrashRecords:
    """Count, for each factor, the runners that crashed under calls with it.

    A factor, such as a request or a part of prompts, may crash every runner that starts
    to answer a call with it. Each call arrives with a new id at any node. Judged on its
    own, it is routed like any other and takes down one more runner with all streams on
    it.

    Every factor of every call on a runner is recorded when the runner crashes. A crash
    counts only for calls that were sent after the previous crash, so runners that are
    lost together, for example with their rack, count as one crash however many of them
    ran such calls. A complete answer of any runner clears a factor, because a factor
    that crashes its runners is never answered.

    Whether a factor is the cause or was only next to it is derived from the records
    each time (``crash_judge.py``). If explained crashes were removed from the records,
    a wrong decision against a harmless request would erase the evidence against the
    request that ran next to it.
    """

    def __init__(self) -> None:
        self._records: dict[bytes, CrashRecord] = {}
        self._unshared: dict[bytes, None] = {}
        """Factors with a single crash, the oldest first."""
        self._factors_by_lifetime: dict[str, set[bytes]] = {}
        """Factors of the calls on a runner when it crashed, by its lifetime."""

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_empty(self) -> bool:
        """Return whether no factor has a record."""
        return not self._records

    def get(self, digest: bytes) -> CrashRecord:
        """Return the record of a factor; an empty one if there is none."""
        return self._records.get(digest, EMPTY_RECORD)

    def factors_on(self, lifetime: str) -> Collection[bytes]:
        """Return the factors that were on a runner when it crashed."""
        return self._factors_by_lifetime.get(lifetime, ())

    def records_to_share(self) -> Iterator[tuple[bytes, CrashRecord]]:
        """Yield the records that every node should have: all but single crashes."""
        for digest, record in self._records.items():
            if digest not in self._unshared:
                yield digest, record

    def record_crash(
        self,
        digest: bytes,
        *,
        lifetime: str,
        sent_ms: float,
        crashed_ms: float,
        companions: Collection[bytes] = (),
        team: int | None = None,
        answered_ms: float | None = None,
    ) -> CrashRecord | None:
        """Record that a runner crashed under a call sent at the given time.

        ``companions`` are the call's other factors, ``team`` its team if the factor may
        be common to several, and ``answered_ms`` is when the sender last saw an answer
        to a call with the factor. Return the record if it has changed and should be
        shared with every node.
        """
        known = self.get(digest)
        if lifetime in known.runners:
            record = known
        elif sent_ms < known.last_ms - REPORT_ORDER_TOLERANCE_MS:
            # The call was on this runner before the previous crash, so both runners may
            # have crashed for one cause; or the factor has been answered since.
            return None
        else:
            record = _add_crash(known, lifetime, crashed_ms)
        record = _add_call(record, lifetime, companions, team)
        if answered_ms is not None:
            record = record._replace(was_answered=True)
            record = _drop_before(record, min(answered_ms, record.last_ms - 1.0))
            if known.crashes >= CRASHES_TO_SUSPECT and record.crashes <= known.crashes:
                # Nodes that have the longer record must not return to it.
                is_shorter = record.runners[:1] != known.runners[:1]
                record = record._replace(clears=known.clears + is_shorter)
        if record == known:
            return None
        self._put(digest, record, now_ms=crashed_ms)
        is_news = record.rank != known.rank or record.crashes >= CRASHES_TO_SUSPECT
        return record if record.is_shared and is_news else None

    def record_answer(
        self, digest: bytes, *, now_ms: float, team: int | None = None
    ) -> CrashRecord | None:
        """Record an answer to a team's call, which clears its factors until then.

        ``now_ms`` is the time of the answer, crashes after it are kept. Only answers to
        a team whose calls were on crashed runners count: others may mean something else
        by the id of a part. Return the record if it should be shared with every node.
        """
        known = self.get(digest)
        is_other_team = 0 < len(known.teams) < MAX_TEAMS and team not in known.teams
        record = _drop_before(known, now_ms)
        if is_other_team or record.crashes == known.crashes:
            return None
        if not known.is_shared and not record.crashes:
            self._delete(digest)
            return None
        if known.is_shared:
            record = record._replace(clears=known.clears + 1)
        self._put(digest, record, now_ms=now_ms)
        return record if known.crashes >= CRASHES_TO_SUSPECT else None

    def merge(self, digest: bytes, record: CrashRecord, *, now_ms: float) -> bool:
        """Merge a record from a peer; return whether it added anything."""
        known = self.get(digest)
        if record.last_ms + RETENTION_MS <= now_ms or record.rank < known.rank:
            return False
        if record.rank == known.rank:
            # Two home nodes may have heard of different calls on the same runners.
            merged = _add_calls(known, record)
            if merged == known:
                return False
            record = merged
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

    def _put(self, digest: bytes, record: CrashRecord, *, now_ms: float) -> None:
        if digest in self._records:
            self._delete(digest)
        elif len(self._records) >= MAX_RECORDS:
            self._evict(now_ms)
        self._records[digest] = record
        if not record.is_shared:
            self._unshared[digest] = None
        for runner in record.runners:
            self._factors_by_lifetime.setdefault(runner, set()).add(digest)

    def _delete(self, digest: bytes) -> None:
        record = self._records.pop(digest)
        self._unshared.pop(digest, None)
        for runner in record.runners:
            factors = self._factors_by_lifetime[runner]
            factors.discard(digest)
            if not factors:
                del self._factors_by_lifetime[runner]

    def _evict(self, now_ms: float) -> None:
        """Drop the oldest single crash; without any, the oldest with fewest crashes."""
        if self._unshared:
            self._delete(next(iter(self._unshared)))
            return
        self.drop_expired(now_ms=now_ms)
        if len(self._records) >= MAX_RECORDS:
            self._delete(min(self._records, key=self._eviction_key))

    def _eviction_key(self, digest: bytes) -> tuple[int, float]:
        record = self._records[digest]
        return record.crashes, record.last_ms


def _add_crash(record: CrashRecord, lifetime: str, crashed_ms: float) -> CrashRecord:
    return record._replace(
        crashes=record.crashes + 1,
        runners=(*record.runners, lifetime)[-MAX_NAMED_RUNNERS:],
        last_ms=crashed_ms,
        companions=(*_companions(record), ())[-MAX_NAMED_RUNNERS:],
        times_ms=(*record.crashes_ms.values(), crashed_ms)[-MAX_NAMED_RUNNERS:],
    )


def _drop_before(record: CrashRecord, answered_ms: float) -> CrashRecord:
    """Return a record without the crashes before an answer."""
    times_ms = tuple(record.crashes_ms.values())
    kept = [index for index, time_ms in enumerate(times_ms) if time_ms > answered_ms]
    if not kept:
        return CrashRecord(clears=record.clears, last_ms=answered_ms, was_answered=True)
    if len(kept) == len(record.runners):
        return record
    companions = _companions(record)
    return record._replace(
        crashes=len(kept),
        was_answered=True,
        runners=tuple(record.runners[index] for index in kept),
        companions=tuple(companions[index] for index in kept),
        times_ms=tuple(times_ms[index] for index in kept),
    )


def _add_call(
    record: CrashRecord, lifetime: str, companions: Collection[bytes], team: int | None
) -> CrashRecord:
    """Return the record with one more call on one of its runners."""
    lists = list(_companions(record))
    index = record.runners.index(lifetime)
    lists[index] = _union(lists[index], companions, MAX_COMPANIONS)
    teams = record.teams if team is None else _union(record.teams, (team,), MAX_TEAMS)
    return record._replace(companions=tuple(lists), teams=teams)


def _add_calls(known: CrashRecord, other: CrashRecord) -> CrashRecord:
    """Return a record with the calls that another one of the same rank lists."""
    by_runner = dict(zip(other.runners, _companions(other), strict=True))
    companions = tuple(
        _union(companions, by_runner.get(runner, ()), MAX_COMPANIONS)
        for runner, companions in zip(known.runners, _companions(known), strict=True)
    )
    return known._replace(
        companions=companions,
        teams=_union(known.teams, other.teams, MAX_TEAMS),
        was_answered=known.was_answered or other.was_answered,
    )


def _companions(record: CrashRecord) -> tuple[tuple[bytes, ...], ...]:
    return tuple(listed for _, listed in record.companions_by_runner())


def _union(
    first: tuple[Item, ...], second: Collection[Item], limit: int
) -> tuple[Item, ...]:
    return tuple(dict.fromkeys((*first, *second)))[:limit]
