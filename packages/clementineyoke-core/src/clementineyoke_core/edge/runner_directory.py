"""Directory of the runners in the store; keeps entries that lapse in a store outage."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.runner_record import (
    RunnerRecord,  # noqa: TC001 - msgspec reads it
)

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner

RETURN_GRACE_MS = 2_200.0
"""How long runners have to renew entries that lapsed in an outage. They take about 2 s
after the store's recovery, which a node notices some hundred ms late. A node that alone
was cut off must follow the store again 3 s after the cut has ended; 2,500 ms are too
long for that: if it notices the recovery 340 ms late, it still sends calls to a runner
that has left."""
MIN_OUTAGE_MS = 500.0
"""Shortest time of failed calls that may be an outage in which entries lapse. The retry
of a single refused or cut call succeeds within 100 ms."""
MIN_SILENCE_MS = 1_000.0
"""Shortest time without any answer of the store to this node that may be an outage in
which entries lapse: they do after several heartbeats. A read whose answer is lost, and
that of its repetition as well, is answered 750 ms after its due time."""
MAX_OVERDUE_READ_MS = 1_000.0
"""How long lapsed entries are kept beyond their time for a read that is overdue."""
MAX_RETURN_MS = 2 * RETURN_GRACE_MS
"""Longest time that runners get to renew lapsed entries while the store is available,
summed over several outages."""
FIRST_READ_MS = 50.0
"""Changes read within this time after a node has noticed the store's recovery may have
happened in the outage. The first response is processed in the same turn of the event
loop."""
MAX_DRAINING = 1_024
"""Remembered lifetimes of draining runners, more than a day's restarts; beyond that the
oldest is dropped."""
MAX_LIVE_WAIT_SHARE = 0.7
"""Maximum wait for a runner whose entry ended while the store was available, as a share
of the operator's bound on new work for leaving runners."""


class Lapse(NamedTuple):
    """How long a runner whose entry lapsed may return."""

    until_ms: float
    available_ms: float
    """Available time of the store, as counted here, at which the entry lapsed."""
    is_from_outage: bool = False
    """Whether the entry may have lapsed in an outage of the store."""


class LapsedRecord(NamedTuple):
    """An entry that lapsed in an outage, and how much longer its runner may return."""

    record: RunnerRecord
    wait_ms: int


class DirectoryView(NamedTuple):
    """Snapshot of the directory, as one node sends it to another."""

    revision: int
    """Store revision of the snapshot."""
    records: tuple[RunnerRecord, ...]
    lapsed: tuple[LapsedRecord, ...] = ()
    """Entries that lapsed in an outage and whose runners may still return."""
    in_outage: bool = False
    """Whether the sender sees a store outage, in which more entries may lapse."""


class RunnerRemoval(NamedTuple):
    """The end of a runner's entry."""

    runner_id: str
    revision: int
    wait_ms: int = 0
    """How much longer the runner may return; above 0 if it lapsed in an outage."""
    born_ms: int = 0
    """Start time of the lifetime that wrote the entry; 0 if unknown."""
    is_refused: bool = False
    """Whether the entry still exists but describes no usable runner."""


class DirectoryChanges(NamedTuple):
    """All changes to runners between two store revisions."""

    base_revision: int
    """The changes can be applied to any view of this revision or later."""
    revision: int
    records: tuple[RunnerRecord, ...]
    removals: tuple[RunnerRemoval, ...]


class RunnerDirectory:
    """Hold the runners' entries; never revert to an older view of the store.

    In a store outage runners cannot renew their entries, so the entries lapse although
    the runners are alive. If lapsed entries were removed, no runner would be left and
    the fleet would refuse all calls for seconds after each outage. An entry that
    disappears in an outage is therefore kept until its runner has had time to renew it.

    Entries lapse only in an outage that affects the whole fleet. While the store still
    answers peers, runners renew their entries even if this node's own calls fail, so an
    entry that disappears then has ended. So has one that disappears around a single
    failed call: entries lapse only after several missed heartbeats.

    A runner may restart under its id. Late writes and reports of the previous lifetime
    are then ignored. Otherwise the new lifetime would be treated as leaving, or dropped
    together with its predecessor's entry.

    A lifetime that signals in a response that it is draining stays draining, whatever
    its entry says: the entry may be older, and is not renewed in a store outage.
    """

    def __init__(self, *, drain_within_ms: float) -> None:
        self._max_live_wait_ms = MAX_LIVE_WAIT_SHARE * drain_within_ms
        self._records: dict[str, RunnerRecord] = {}
        self._lapsed: dict[str, Lapse] = {}
        self._draining: dict[str, None] = {}
        """Lifetimes that signalled in a response that they drain, oldest first."""
        self._contradicted: set[str] = set()
        """Runners with a newer entry that has an earlier start time."""
        self._failing_since_ms: float | None = None
        """Time from which this node's calls to the store fail; None if they succeed."""
        self._last_own_answer_ms = -math.inf
        self._last_store_answer_ms = -math.inf
        """Time of the latest known answer from the store to any node."""
        self._answering_since_ms = -math.inf
        """Start of the current series of store answers."""
        self._outage_ended_ms = -RETURN_GRACE_MS
        self._last_recovery_ms = -RETURN_GRACE_MS
        """Time at which a kind of call last succeeded again after a failure."""
        self._available_before_ms = 0.0
        """Available time of the store up to the end of the latest outage."""
        self.revision = 0

    def records(self) -> list[RunnerRecord]:
        """Return the entries in force."""
        return list(self._records.values())

    def contradicted(self) -> list[Runner]:
        """Return the runners whose entry in force may be that of a former lifetime."""
        return [
            self._records[runner_id].runner
            for runner_id in sorted(self._contradicted)
            if runner_id in self._records
        ]

    def view(self, *, now_ms: float) -> DirectoryView:
        """Return a snapshot for another node.

        Lapsed entries are listed separately: the other node must neither drop them at
        once nor keep them forever.
        """
        current: list[RunnerRecord] = []
        lapsed: list[LapsedRecord] = []
        for runner_id, record in self._records.items():
            if runner_id in self._lapsed:
                wait_ms = self.wait_ms(runner_id, now_ms=now_ms)
                lapsed.append(LapsedRecord(record, wait_ms))
            else:
                current.append(record)
        return DirectoryView(
            self.revision, tuple(current), tuple(lapsed), self.in_outage(now_ms=now_ms)
        )

    def in_outage(self, *, now_ms: float) -> bool:
        """Return whether this node's calls to the store fail because of a store outage.

        This is false once the store has answered peers for the grace period: after an
        outage this node's own calls would have succeeded by then.
        """
        since_ms = self._failing_since_ms
        if since_ms is None or now_ms - since_ms < MIN_OUTAGE_MS:
            return False
        if now_ms - self._last_own_answer_ms < MIN_SILENCE_MS:
            return False
        if now_ms - self._last_store_answer_ms > RETURN_GRACE_MS:
            return True
        answering_since_ms = max(since_ms, self._answering_since_ms)
        return self._last_store_answer_ms - answering_since_ms < RETURN_GRACE_MS

    def record_store_failure(self, *, since_ms: float) -> None:
        """Record that a call of this node has had no answer since a time."""
        if self._failing_since_ms is None:
            self._failing_since_ms = since_ms

    def record_store_answer(self, *, at_ms: float) -> None:
        """Record that the store answered this node or a peer."""
        if at_ms <= self._last_store_answer_ms:
            return
        if at_ms - self._last_store_answer_ms > RETURN_GRACE_MS:
            self._answering_since_ms = at_ms
        self._last_store_answer_ms = at_ms

    def record_own_answer(self, *, now_ms: float) -> None:
        """Record that the store answered this node, whatever else fails."""
        if self._failing_since_ms is not None:
            if self.in_outage(now_ms=now_ms):
                self._end_outage(now_ms)
            self._failing_since_ms = None
        self._last_own_answer_ms = now_ms

    def record_store_recovery(self, *, now_ms: float) -> None:
        """Record that a kind of call that failed succeeds again.

        Several kinds report their recovery; whether there was an outage is determined
        at the first answer to any of them.
        """
        self.record_own_answer(now_ms=now_ms)
        self._last_recovery_ms = now_ms

    def _end_outage(self, now_ms: float) -> None:
        """Give lapsed entries time to return, unless the store was available enough."""
        available_ms = self._available_ms(now_ms)
        for runner_id, lapse in self._lapsed.items():
            if available_ms - lapse.available_ms < MAX_RETURN_MS:
                until_ms = now_ms + RETURN_GRACE_MS
                self._lapsed[runner_id] = lapse._replace(until_ms=until_ms)
        self._available_before_ms = available_ms
        self._outage_ended_ms = now_ms
        # The answer that ends an outage may be one of a kind whose calls did not fail.
        self._last_recovery_ms = now_ms

    def _available_ms(self, now_ms: float) -> float:
        """Return for how long the store was available, without outages."""
        failing_since_ms = self._failing_since_ms
        if failing_since_ms is not None and self.in_outage(now_ms=now_ms):
            now_ms = max(self._outage_ended_ms, failing_since_ms)
        return self._available_before_ms + now_ms - self._outage_ended_ms

    def replace(self, view: DirectoryView, *, now_ms: float) -> bool:
        """Replace the directory by a newer view; return whether anything changed."""
        if view.revision <= self.revision:
            return False
        if view.in_outage and not self.revision:
            # A node that has just started has not seen the outage itself.
            self._end_outage(now_ms)
        before = dict(self._records)
        received = {record.runner.runner_id: record for record in view.records}
        waited_for = {lapsed.record.runner.runner_id: lapsed for lapsed in view.lapsed}
        for runner_id in before.keys() - received.keys():
            reported = waited_for.get(runner_id)
            until_ms = self._wait_until_ms(
                now_ms, 0 if reported is None else reported.wait_ms
            )
            self._remove(runner_id, now_ms, until_ms)
        for record in received.values():
            self._put(record)
        if not self.revision:
            self._adopt_lapsed(view.lapsed, now_ms)
        self.revision = view.revision
        return before != self._records

    def apply(self, changes: DirectoryChanges, *, now_ms: float) -> bool:
        """Apply changes from the store or a peer; return whether runners changed.

        If a faster peer has already reported that an entry has come back since its
        removal, the late report of the removal changes nothing.
        """
        removed = [self._apply_removal(removal, now_ms) for removal in changes.removals]
        put = [
            self._put(record) for record in changes.records if self._may_exist(record)
        ]
        self.revision = max(self.revision, changes.revision)
        return any(removed) or any(put)

    def record_draining(self, runner: Runner) -> DirectoryChanges | None:
        """Record that a runner signalled in a response that it is draining.

        Return the change to send to other nodes, or None if nothing changed here.
        """
        self._remember_draining(runner)
        known = self._records.get(runner.runner_id)
        if known is None or not self._mark_draining(known, runner):
            return None
        record = self._records[runner.runner_id]
        return DirectoryChanges(self.revision, self.revision, (record,), ())

    def is_newer(self, record: RunnerRecord) -> bool:
        """Return whether a record is newer than any known record of its runner."""
        known = self._records.get(record.runner.runner_id)
        return known is None or known.revision < record.revision

    def is_newest(self, record: RunnerRecord) -> bool:
        """Return whether a record is the latest known one of its runner."""
        known = self._records.get(record.runner.runner_id)
        return known is not None and known.revision == record.revision

    def is_contiguous_with(self, changes: DirectoryChanges) -> bool:
        """Return whether no revision is missing between directory and changes."""
        return 0 < self.revision >= changes.base_revision

    def lapsed_ids(self) -> set[str]:
        """Return the ids of runners whose entries have lapsed and who may return."""
        return set(self._lapsed)

    def wait_ms(self, runner_id: str, *, now_ms: float) -> int:
        """Return how much longer a lapsed runner may return; 0 for any other runner."""
        lapse = self._lapsed.get(runner_id)
        return 0 if lapse is None else max(0, int(lapse.until_ms - now_ms))

    def time_to_drop_ms(self, *, now_ms: float) -> float:
        """Return how soon the time of a lapsed entry is over; infinite if none is."""
        waits_ms = [lapse.until_ms - now_ms for lapse in self._lapsed.values()]
        return min((wait_ms for wait_ms in waits_ms if wait_ms > 0), default=math.inf)

    def drop_lapsed(self, *, now_ms: float, read_ms: float = math.inf) -> list[str]:
        """Drop lapsed entries whose time is over; return their runners' ids.

        None is dropped in an outage, which may begin before the time after the previous
        one is over. A node whose latest read, at ``read_ms``, is older than the end of
        that time waits for the next: the entry may have been renewed since.
        """
        if self.in_outage(now_ms=now_ms):
            return []
        read_ms = min(read_ms, now_ms)
        expired = [
            runner_id
            for runner_id, lapse in self._lapsed.items()
            if lapse.until_ms <= (read_ms if lapse.is_from_outage else now_ms)
            or lapse.until_ms <= now_ms - MAX_OVERDUE_READ_MS
        ]
        for runner_id in expired:
            self._drop(runner_id)
        return expired

    def _may_exist(self, record: RunnerRecord) -> bool:
        """Return whether a reported entry may still exist.

        The directory is complete up to its revision, so an entry that is unknown here
        and not newer has ended. Its datagram may arrive after the one that reported its
        end; if it were added again, its runner would get calls forever.
        """
        is_known = record.runner.runner_id in self._records
        return is_known or record.revision > self.revision

    def _put(self, record: RunnerRecord) -> bool:
        runner_id = record.runner.runner_id
        known = self._records.get(runner_id)
        if known is not None:
            if known.revision >= record.revision:
                # An old record does not show that the entry has come back. But another
                # node may have learnt from a response that the runner is draining.
                return record.is_leaving and self._mark_draining(known, record.runner)
            if record.runner.born_ms < known.runner.born_ms:
                # A late write of the previous lifetime, or a clock was set back.
                self._contradicted.add(runner_id)
                return False
        if record.runner.lifetime in self._draining:
            record = record._replace(is_leaving=True)
        self._lapsed.pop(runner_id, None)
        self._contradicted.discard(runner_id)
        self._records[runner_id] = record
        return known is None or known[:2] != record[:2]

    def _mark_draining(self, known: RunnerRecord, runner: Runner) -> bool:
        """Mark a known runner as draining; return whether the record changed."""
        if known.is_leaving or known.runner.lifetime != runner.lifetime:
            return False
        self._remember_draining(runner)
        self._records[runner.runner_id] = known._replace(is_leaving=True)
        return True

    def _remember_draining(self, runner: Runner) -> None:
        self._draining[runner.lifetime] = None
        if len(self._draining) > MAX_DRAINING:
            del self._draining[next(iter(self._draining))]

    def _apply_removal(self, removal: RunnerRemoval, now_ms: float) -> bool:
        record = self._records.get(removal.runner_id)
        if record is None or record.revision > removal.revision:
            return False
        if removal.is_refused:
            self._drop(removal.runner_id)
            return True
        if 0 < removal.born_ms < record.runner.born_ms:
            # The entry of the previous lifetime; the new one writes its own again.
            return self._remove(removal.runner_id, now_ms, now_ms + RETURN_GRACE_MS)
        if not removal.wait_ms:
            # A node that was cut off mistakes an end for a lapse and reports it as one.
            # A report from a node that saw the end while the store was available
            # overrides it, unless this node itself knows of an outage.
            self._lapsed.pop(removal.runner_id, None)
        until_ms = self._wait_until_ms(now_ms, removal.wait_ms)
        if not removal.wait_ms and not self._may_date_from_outage(now_ms):
            # The end was seen when it happened, so it is unlikely to be a lapse. If the
            # runner is leaving, the operator's bound counts from now.
            until_ms = min(until_ms, now_ms + self._max_live_wait_ms)
        return self._remove(removal.runner_id, now_ms, until_ms)

    def _wait_until_ms(self, now_ms: float, reported_wait_ms: int) -> float:
        """Return until when to wait for a runner whose entry is gone.

        A peer may mistake its own lost connection to the store for an outage. The wait
        that it reports is capped so that calls to a leaving runner stop within the
        operator's bound.
        """
        if self.in_outage(now_ms=now_ms):
            return now_ms + RETURN_GRACE_MS
        reported_until_ms = now_ms + min(reported_wait_ms, self._max_live_wait_ms)
        return max(reported_until_ms, self._outage_ended_ms + RETURN_GRACE_MS)

    def _may_date_from_outage(self, now_ms: float) -> bool:
        """Return whether a change read now may have happened in an outage."""
        since_return_ms = now_ms - self._last_recovery_ms
        return self.in_outage(now_ms=now_ms) or since_return_ms < FIRST_READ_MS

    def _remove(self, runner_id: str, now_ms: float, until_ms: float) -> bool:
        """Drop an entry or mark it as lapsed; return whether runners changed."""
        record = self._records.get(runner_id)
        if record is None or runner_id in self._lapsed:
            return False
        if until_ms <= now_ms or record.is_leaving:
            self._drop(runner_id)
            return True
        self._lapsed[runner_id] = Lapse(
            until_ms, self._available_ms(now_ms), self._may_date_from_outage(now_ms)
        )
        return False

    def _drop(self, runner_id: str) -> None:
        self._contradicted.discard(runner_id)
        self._lapsed.pop(runner_id, None)
        self._records.pop(runner_id, None)

    def _adopt_lapsed(self, lapsed: tuple[LapsedRecord, ...], now_ms: float) -> None:
        """Adopt the lapsed entries of a peer.

        Only a node without any view does so. A node that has seen an entry end while
        the store was available would bring back a leaving runner and send it new work
        seconds after the entry's end.
        """
        for record, wait_ms in lapsed:
            if not record.is_leaving:
                runner_id = record.runner.runner_id
                self._records[runner_id] = record
                until_ms = now_ms + min(wait_ms, RETURN_GRACE_MS)
                self._lapsed[runner_id] = Lapse(until_ms, self._available_ms(now_ms))
