"""Crash histories of the factors of calls that were running on crashed runners."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Mapping

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


class Crash(NamedTuple):
    """A runner that crashed under calls with a factor."""

    runner: str
    """Lifetime of the runner."""
    crashed_ms: float
    companions: tuple[bytes, ...] = ()
    """Other factors of these calls; empty if they are not known."""


class CrashRecord(NamedTuple):
    """Crash history of one factor."""

    clears: int = 0
    """How often the factor was cleared because a call with it was answered."""
    crashes: int = 0
    """Successive runners that have crashed under the factor since it was cleared."""
    history: tuple[Crash, ...] = ()
    """The latest of these crashes, the newest one last."""
    last_ms: float = 0.0
    """Monotonic time of the latest crash or, without one, of the clearing."""
    teams: tuple[int, ...] = ()
    """Teams whose calls with the factor were on the runners; empty for any team."""
    was_answered: bool = False
    """Whether calls with the factor were answered before the first of the crashes."""

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key of a factor's records; the newer one ranks higher."""
        return self.clears, self.crashes

    @property
    def runners(self) -> tuple[str, ...]:
        """Return the lifetimes of the runners that crashed most recently."""
        return tuple(crash.runner for crash in self.history)

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
            until_ms = min(answered_ms, record.last_ms - 1.0)
            record = _clear(record, until_ms, was_shared=known.is_shared)
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
        record = _clear(known, now_ms, was_shared=known.is_shared)
        if is_other_team or record.crashes == known.crashes:
            return None
        if not record.is_shared and not record.crashes:
            self._delete(digest)
            return None
        self._put(digest, record, now_ms=now_ms)
        return record if known.crashes >= CRASHES_TO_SUSPECT else None

    def merge(self, digest: bytes, record: CrashRecord, *, now_ms: float) -> bool:
        """Merge a record from a peer; return whether it added anything."""
        known = self.get(digest)
        if record.last_ms + RETENTION_MS <= now_ms or record.rank < known.rank:
            return False
        if record.rank == known.rank:
            # Two home nodes may have heard of different calls on the same runners.
            companions = {crash.runner: crash.companions for crash in record.history}
            was_answered = known.was_answered or record.was_answered
            record = _add_calls(known, companions, record.teams)
            record = record._replace(was_answered=was_answered)
            if record == known:
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
    history = (*record.history, Crash(lifetime, crashed_ms))
    return record._replace(
        crashes=record.crashes + 1,
        history=history[-MAX_NAMED_RUNNERS:],
        last_ms=crashed_ms,
    )


def _clear(record: CrashRecord, answered_ms: float, *, was_shared: bool) -> CrashRecord:
    """Return a record without the crashes before an answer.

    Nodes that have a longer one do not return to it, as one more clear outranks it.
    """
    history = tuple(crash for crash in record.history if crash.crashed_ms > answered_ms)
    if len(history) == len(record.history):
        return record._replace(was_answered=True)
    clears = record.clears + was_shared
    if not history:
        return CrashRecord(clears=clears, last_ms=answered_ms, was_answered=True)
    return record._replace(
        clears=clears, crashes=len(history), history=history, was_answered=True
    )


def _add_call(
    record: CrashRecord, lifetime: str, companions: Collection[bytes], team: int | None
) -> CrashRecord:
    """Return the record with one more call on one of its runners."""
    teams = () if team is None else (team,)
    return _add_calls(record, {lifetime: companions}, teams)


def _add_calls(
    record: CrashRecord,
    companions_by_runner: Mapping[str, Collection[bytes]],
    teams: Collection[int],
) -> CrashRecord:
    """Return the record with more calls on its runners."""
    history = tuple(
        crash._replace(
            companions=_union(
                crash.companions,
                companions_by_runner.get(crash.runner, ()),
                MAX_COMPANIONS,
            )
        )
        for crash in record.history
    )
    return record._replace(
        history=history, teams=_union(record.teams, teams, MAX_TEAMS)
    )


def _union(
    first: tuple[Item, ...], second: Collection[Item], limit: int
) -> tuple[Item, ...]:
    return tuple(dict.fromkeys((*first, *second)))[:limit]
