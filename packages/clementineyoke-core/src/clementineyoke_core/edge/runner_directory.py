"""Every runner that the store holds, with care for what lapsed in an outage."""

from __future__ import annotations

from typing import NamedTuple

from clementineyoke_core.edge.runner_record import (
    RunnerRecord,  # noqa: TC001 - msgspec reads it
)

RETURN_TIME_MS = 2_500.0
"""Entries that lapsed with the store are back about 2 s after its return; the rest is
for the node's own delay in seeing either."""


class DirectoryView(NamedTuple):
    """The directory as one node hands it to another."""

    revision: int
    """As of which revision of the store."""
    records: tuple[RunnerRecord, ...]
    lapsed: tuple[RunnerRecord, ...] = ()
    """Entries that vanished in an outage and whose runners may yet return."""
    in_outage: bool = False
    """Whether the sender finds the store away: more may vanish for that reason."""


class RunnerRemoval(NamedTuple):
    """The end of an entry."""

    runner_id: str
    revision: int
    is_lapsed: bool = False
    """Whether it ended in an outage, so that its runner may yet return."""


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
    """

    def __init__(self) -> None:
        self._records: dict[str, RunnerRecord] = {}
        self._lapsed: dict[str, float] = {}
        self._is_store_away = False
        self._outage_ended_ms = -RETURN_TIME_MS
        self.revision = 0

    def records(self) -> list[RunnerRecord]:
        """Return the entries in force."""
        return list(self._records.values())

    def view(self) -> DirectoryView:
        """Return what to hand to another node.

        Lapsed entries go by themselves: the other node must neither drop them at once
        nor hold them for good.
        """
        held: list[RunnerRecord] = []
        lapsed: list[RunnerRecord] = []
        for runner_id, record in self._records.items():
            (lapsed if runner_id in self._lapsed else held).append(record)
        return DirectoryView(
            self.revision, tuple(held), tuple(lapsed), self._is_store_away
        )

    def record_outage(self) -> None:
        """Note that the store does not answer."""
        self._is_store_away = True

    def record_outage_end(self, *, now_ms: float) -> None:
        """Note that the store answers again after it was away."""
        self._is_store_away = False
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
        waited_for = {record.runner.runner_id: record for record in view.lapsed}
        for runner_id in before.keys() - fresh.keys():
            self._remove(runner_id, now_ms, is_lapsed=runner_id in waited_for)
        for record in fresh.values():
            self._put(record)
        if not self.revision:
            self._adopt_lapsed(waited_for, now_ms)
        self.revision = view.revision
        return before != self._records

    def apply(self, changes: DirectoryChanges, *, now_ms: float) -> bool:
        """Take what the store told this node or a peer; return whether runners changed.

        An entry may have come back since its removal, as a quicker peer has told; the
        late word of its end then changes nothing.
        """
        removed = [self._end(ended, now_ms) for ended in changes.removals]
        put = [self._put(record) for record in changes.records]
        self.revision = max(self.revision, changes.revision)
        return any(removed) or any(put)

    def follows_on(self, changes: DirectoryChanges) -> bool:
        """Whether nothing is missing between this directory and the changes."""
        return 0 < self.revision >= changes.base_revision

    def is_lapsed(self, runner_id: str) -> bool:
        """Whether an entry ended in an outage and its runner may yet return."""
        return runner_id in self._lapsed

    def drop_lapsed(self, *, now_ms: float) -> list[str]:
        """Drop entries whose runners did not return in time, and return their ids."""
        gone = [
            runner_id
            for runner_id, until_ms in self._lapsed.items()
            if until_ms <= now_ms
        ]
        for runner_id in gone:
            del self._lapsed[runner_id]
            self._records.pop(runner_id, None)
        return gone

    def _put(self, record: RunnerRecord) -> bool:
        runner_id = record.runner.runner_id
        known = self._records.get(runner_id)
        if known is not None and known.revision >= record.revision:
            # Old news of an entry that may have ended since: no sign of its return.
            return False
        self._lapsed.pop(runner_id, None)
        self._records[runner_id] = record
        return known is None or known[:2] != record[:2]

    def _end(self, ended: RunnerRemoval, now_ms: float) -> bool:
        record = self._records.get(ended.runner_id)
        if record is not None and record.revision > ended.revision:
            return False
        if not ended.is_lapsed:
            # Whoever was cut off takes an end for a lapse and tells so. The word of one
            # that saw it with the store well counts more; what this node itself knows
            # of an outage still decides.
            self._lapsed.pop(ended.runner_id, None)
        return self._remove(ended.runner_id, now_ms, is_lapsed=ended.is_lapsed)

    def _remove(
        self, runner_id: str, now_ms: float, *, is_lapsed: bool = False
    ) -> bool:
        record = self._records.get(runner_id)
        if record is None or runner_id in self._lapsed:
            return False
        until_ms = self._outage_ended_ms + RETURN_TIME_MS
        if self._is_store_away or is_lapsed:
            until_ms = now_ms + RETURN_TIME_MS
        if until_ms <= now_ms or record.is_leaving:
            del self._records[runner_id]
            return True
        self._lapsed[runner_id] = until_ms
        return False

    def _adopt_lapsed(self, lapsed: dict[str, RunnerRecord], now_ms: float) -> None:
        """Take over what a peer waits for.

        Only a node that knows nothing yet does so: one that has seen an entry end
        while the store was well would bring back a runner that leaves, seen as new
        work there seconds after its end.
        """
        for runner_id, record in lapsed.items():
            if not record.is_leaving:
                self._records[runner_id] = record
                self._lapsed[runner_id] = now_ms + RETURN_TIME_MS
