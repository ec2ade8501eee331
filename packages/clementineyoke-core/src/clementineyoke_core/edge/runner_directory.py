"""Every runner that the store holds, with care for what lapsed in an outage."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.runner_record import (
    RunnerRecord,  # noqa: TC001 - msgspec reads it
)

if TYPE_CHECKING:
    from clementineyoke_core.runner import Runner

RETURN_TIME_MS = 2_200.0
"""Entries that lapsed with the store are back about 2 s after its return, which a node
notices some hundred ms late. A node that was cut off for itself is bound by the store's
word again 3 s after its cut; with 2,500 ms and a late notice of 340 ms it still sent
calls to a runner that had left."""
FIRST_LOOK_MS = 50.0
"""After a node has noticed the store's return: what it is shown within this time may
have happened in the outage. The first answer is taken in the same turn of the loop."""
MOST_DRAINING = 1_024
"""Lifetimes known to drain; beyond a day's restarts the oldest is forgotten."""
LIVE_END_SHARE = 0.7
"""Longest wait for a runner whose entry was seen to end with the store there, as a
share of the operator's bound on new work for leaving runners."""


class LapsedRecord(NamedTuple):
    """An entry that vanished in an outage, and how long to wait for its return."""

    record: RunnerRecord
    wait_ms: int


class DirectoryView(NamedTuple):
    """The directory as one node hands it to another."""

    revision: int
    """As of which revision of the store."""
    records: tuple[RunnerRecord, ...]
    lapsed: tuple[LapsedRecord, ...] = ()
    """Entries that vanished in an outage and whose runners may yet return."""
    in_outage: bool = False
    """Whether the sender finds the store away: more may vanish for that reason."""


class RunnerRemoval(NamedTuple):
    """The end of an entry."""

    runner_id: str
    revision: int
    wait_ms: int = 0
    """How much longer its runner may yet return; above 0 if it ended in an outage."""
    born_ms: int = 0
    """Which lifetime the entry was of; 0 if it did not say."""
    is_refused: bool = False
    """Whether the entry is still there and names no runner that can be used."""


class DirectoryChanges(NamedTuple):
    """Everything that changed between two revisions of the store."""

    base_revision: int
    """The changes follow on any view from here on."""
    revision: int
    records: tuple[RunnerRecord, ...]
    removals: tuple[RunnerRemoval, ...]


class RunnerDirectory:
    """Hold runners' entries; never go back to an older view of the store.

    While the store is away runners cannot renew their entries and they lapse, though
    the runners live. Taking that for their end would leave no runner at all, seen as a
    fleet that refuses everything for seconds after each outage. An entry that vanished
    in an outage is therefore kept until its runner has had time to return.

    Entries lapse only in an outage that affects the whole fleet. While the store still
    answers peers, runners renew their entries even if this node's own calls fail, so an
    entry that vanishes then has ended.

    A runner may start anew under its id. What the lifetime before it wrote or tells
    late then changes nothing: seen otherwise as a new runner that is taken for a
    leaving one, or that is dropped with its predecessor's entry.

    A lifetime that signals in an answer that it drains stays draining, whatever its
    entry says: the entry may be older, and is not renewed while the store is away.
    """

    def __init__(self, *, drain_within_ms: float) -> None:
        self._longest_live_wait_ms = LIVE_END_SHARE * drain_within_ms
        self._records: dict[str, RunnerRecord] = {}
        self._lapsed: dict[str, float] = {}
        self._draining: dict[str, None] = {}
        """Lifetimes that signalled in an answer that they drain, the oldest first."""
        self._is_store_unreachable = False
        """Whether this node's calls to the store fail."""
        self._was_failure_local = False
        """Whether this node's latest failed calls were not due to a store outage."""
        self._last_store_answer_ms = -math.inf
        """Time of the latest known answer from the store to any node."""
        self._answering_since_ms: float | None = None
        """Start of the current run of store answers; None once calls start to fail."""
        self._outage_ended_ms = -RETURN_TIME_MS
        self.revision = 0

    def records(self) -> list[RunnerRecord]:
        """Return the entries in force."""
        return list(self._records.values())

    def view(self, *, now_ms: float) -> DirectoryView:
        """Return what to hand to another node.

        Lapsed entries go by themselves: the other node must neither drop them at once
        nor hold them for good.
        """
        held: list[RunnerRecord] = []
        lapsed: list[LapsedRecord] = []
        for runner_id, record in self._records.items():
            if runner_id in self._lapsed:
                wait_ms = self.wait_ms(runner_id, now_ms=now_ms)
                lapsed.append(LapsedRecord(record, wait_ms))
            else:
                held.append(record)
        return DirectoryView(
            self.revision, tuple(held), tuple(lapsed), self.in_outage(now_ms=now_ms)
        )

    def in_outage(self, *, now_ms: float) -> bool:
        """Whether this node's calls to the store fail because of a store outage.

        False once the store has answered peers for the return time: after an outage
        this node's own calls would have succeeded by then.
        """
        if not self._is_store_unreachable:
            return False
        if now_ms - self._last_store_answer_ms > RETURN_TIME_MS:
            return True
        since_ms = self._answering_since_ms
        return since_ms is None or (
            self._last_store_answer_ms - since_ms < RETURN_TIME_MS
        )

    def record_store_failure(self) -> None:
        """Note that the store does not answer this node."""
        if not self._is_store_unreachable:
            self._answering_since_ms = None
        self._is_store_unreachable = True

    def record_store_answer(self, *, at_ms: float) -> None:
        """Note that the store answered this node or a peer."""
        if at_ms <= self._last_store_answer_ms:
            return
        is_after_gap = at_ms - self._last_store_answer_ms > RETURN_TIME_MS
        if is_after_gap or self._answering_since_ms is None:
            self._answering_since_ms = at_ms
        self._last_store_answer_ms = at_ms

    def record_store_recovery(self, *, now_ms: float) -> None:
        """Note that the store answers this node again.

        Several kinds of calls report their recovery. All of them use the cause found
        at the first one, as later ones no longer see the failure.
        """
        if self._is_store_unreachable:
            self._was_failure_local = not self.in_outage(now_ms=now_ms)
        self._is_store_unreachable = False
        if self._was_failure_local:
            return
        self._outage_ended_ms = now_ms
        for runner_id in self._lapsed:
            self._lapsed[runner_id] = now_ms + RETURN_TIME_MS

    def replace(self, view: DirectoryView, *, now_ms: float) -> bool:
        """Take the whole list as of a revision; return whether anything changed."""
        if view.revision <= self.revision:
            return False
        if view.in_outage and not self.revision:
            # A node that has just started has not met the outage itself.
            self._outage_ended_ms = max(self._outage_ended_ms, now_ms)
        before = dict(self._records)
        fresh = {record.runner.runner_id: record for record in view.records}
        waited_for = {lapsed.record.runner.runner_id: lapsed for lapsed in view.lapsed}
        for runner_id in before.keys() - fresh.keys():
            told = waited_for.get(runner_id)
            until_ms = self._wait_until_ms(now_ms, 0 if told is None else told.wait_ms)
            self._remove(runner_id, now_ms, until_ms)
        for record in fresh.values():
            self._put(record)
        if not self.revision:
            self._adopt_lapsed(view.lapsed, now_ms)
        self.revision = view.revision
        return before != self._records

    def apply(self, changes: DirectoryChanges, *, now_ms: float) -> bool:
        """Take what the store told this node or a peer; return whether runners changed.

        An entry may have come back since its removal, as a quicker peer has told; the
        late word of its end then changes nothing.
        """
        removed = [self._end(ended, now_ms) for ended in changes.removals]
        put = [self._put(record) for record in changes.records if self._is_news(record)]
        self.revision = max(self.revision, changes.revision)
        return any(removed) or any(put)

    def record_draining(self, runner: Runner) -> DirectoryChanges | None:
        """Note that a runner signalled in an answer that it drains.

        Returns what to tell other nodes, or None if nothing changed here.
        """
        self._note_draining(runner)
        known = self._records.get(runner.runner_id)
        if known is None or not self._mark_draining(known, runner):
            return None
        record = self._records[runner.runner_id]
        return DirectoryChanges(self.revision, self.revision, (record,), ())

    def is_newer(self, record: RunnerRecord) -> bool:
        """Whether a record is newer than what is known of its runner."""
        known = self._records.get(record.runner.runner_id)
        return known is None or known.revision < record.revision

    def is_newest(self, record: RunnerRecord) -> bool:
        """Whether a record is the newest that is known of its runner."""
        known = self._records.get(record.runner.runner_id)
        return known is not None and known.revision == record.revision

    def is_contiguous_with(self, changes: DirectoryChanges) -> bool:
        """Whether nothing is missing between this directory and the changes."""
        return 0 < self.revision >= changes.base_revision

    def lapsed_ids(self) -> set[str]:
        """Return the ids of runners that have lost their entries and may yet return."""
        return set(self._lapsed)

    def wait_ms(self, runner_id: str, *, now_ms: float) -> int:
        """Return how much longer a runner may return; 0 for one that is not lapsed."""
        until_ms = self._lapsed.get(runner_id, now_ms)
        return max(0, int(until_ms - now_ms))

    def drop_lapsed(self, *, now_ms: float) -> list[str]:
        """Drop entries whose runners did not return in time, and return their ids."""
        gone = [
            runner_id
            for runner_id, until_ms in self._lapsed.items()
            if until_ms <= now_ms
        ]
        for runner_id in gone:
            self._drop(runner_id)
        return gone

    def _is_news(self, record: RunnerRecord) -> bool:
        """Whether a told entry is newer than this view, which is whole up to then.

        A datagram may come after the one that told of the entry's end: what is not
        known here as of a later revision has ended, and would get calls for good.
        """
        is_known = record.runner.runner_id in self._records
        return is_known or record.revision > self.revision

    def _put(self, record: RunnerRecord) -> bool:
        runner_id = record.runner.runner_id
        known = self._records.get(runner_id)
        if known is not None:
            if known.revision >= record.revision:
                # Old news of an entry that may have ended since: no sign of its return.
                # Another node may have learnt from an answer that its runner drains.
                return record.is_leaving and self._mark_draining(known, record.runner)
            if record.runner.born_ms < known.runner.born_ms:
                # A write of the lifetime before, done late by the store.
                return False
        if record.runner.lifetime in self._draining:
            record = record._replace(is_leaving=True)
        self._lapsed.pop(runner_id, None)
        self._records[runner_id] = record
        return known is None or known[:2] != record[:2]

    def _mark_draining(self, known: RunnerRecord, runner: Runner) -> bool:
        """Mark a known runner as draining; return whether that is news."""
        if known.is_leaving or known.runner.lifetime != runner.lifetime:
            return False
        self._note_draining(runner)
        self._records[runner.runner_id] = known._replace(is_leaving=True)
        return True

    def _note_draining(self, runner: Runner) -> None:
        self._draining[runner.lifetime] = None
        if len(self._draining) > MOST_DRAINING:
            del self._draining[next(iter(self._draining))]

    def _end(self, ended: RunnerRemoval, now_ms: float) -> bool:
        record = self._records.get(ended.runner_id)
        if record is None or record.revision > ended.revision:
            return False
        if ended.is_refused:
            self._drop(ended.runner_id)
            return True
        if 0 < ended.born_ms < record.runner.born_ms:
            # The entry of the lifetime before it; the new one enters itself again.
            return self._remove(ended.runner_id, now_ms, now_ms + RETURN_TIME_MS)
        if not ended.wait_ms:
            # Whoever was cut off takes an end for a lapse and tells so. The word of one
            # that saw it with the store well counts more; what this node itself knows
            # of an outage still decides.
            self._lapsed.pop(ended.runner_id, None)
        until_ms = self._wait_until_ms(now_ms, ended.wait_ms)
        if not ended.wait_ms and not self._is_first_look(now_ms):
            # Seen as it happened, so hardly a lapse; if it is the runner's leaving, the
            # operator's bound runs from now.
            until_ms = min(until_ms, now_ms + self._longest_live_wait_ms)
        return self._remove(ended.runner_id, now_ms, until_ms)

    def _wait_until_ms(self, now_ms: float, told_wait_ms: int) -> float:
        """Return until when to wait for a runner whose entry is gone.

        A peer may mistake its own lost connection to the store for an outage. The wait
        that it reports is capped so that calls to a leaving runner stop within the
        operator's bound.
        """
        if self.in_outage(now_ms=now_ms):
            return now_ms + RETURN_TIME_MS
        told_until_ms = now_ms + min(told_wait_ms, self._longest_live_wait_ms)
        return max(told_until_ms, self._outage_ended_ms + RETURN_TIME_MS)

    def _is_first_look(self, now_ms: float) -> bool:
        """Whether the store is away, or what it shows may have happened meanwhile."""
        since_return_ms = now_ms - self._outage_ended_ms
        return self.in_outage(now_ms=now_ms) or since_return_ms < FIRST_LOOK_MS

    def _remove(self, runner_id: str, now_ms: float, until_ms: float) -> bool:
        """Drop an entry, or wait for its runner; return whether runners changed."""
        record = self._records.get(runner_id)
        if record is None or runner_id in self._lapsed:
            return False
        if until_ms <= now_ms or record.is_leaving:
            self._drop(runner_id)
            return True
        self._lapsed[runner_id] = until_ms
        return False

    def _drop(self, runner_id: str) -> None:
        self._lapsed.pop(runner_id, None)
        self._records.pop(runner_id, None)

    def _adopt_lapsed(self, lapsed: tuple[LapsedRecord, ...], now_ms: float) -> None:
        """Take over what a peer waits for.

        Only a node that knows nothing yet does so: one that has seen an entry end
        while the store was well would bring back a runner that leaves, seen as new
        work there seconds after its end.
        """
        for record, wait_ms in lapsed:
            if not record.is_leaving:
                runner_id = record.runner.runner_id
                self._records[runner_id] = record
                self._lapsed[runner_id] = now_ms + wait_ms
