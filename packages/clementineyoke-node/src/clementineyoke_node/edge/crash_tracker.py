"""Detects requests that crash runners, shares them among the nodes and refuses them."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.crash_records import CrashRecord
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_core.runner_state import RunnerState
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import CrashNews, CrashNote, CrashReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.crash_records import CrashRecords
    from clementineyoke_core.home_nodes import HomeNodes
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.fault_reports import FaultReports
    from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.timers.background_tasks import BackgroundTasks
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
PROBE_DELAY_MS = 20.0
"""Delay from the first broken call at a runner to the check whether it has crashed: its
other calls break at the same moment, and a process that ends may close its listening
socket last."""
HOMES_PER_REQUEST = 3
"""Nodes that count the crashes of a request: one may be down and one may just have
started."""
NOTES_PER_GOSSIP = 2
"""Records attached to each gossip probe and its reply."""
MAX_SNAPSHOT_NOTES = 256
"""Records sent to a node that has just started."""
KEY_BYTES = 8


class BrokenCall(NamedTuple):
    """A call whose connection broke, as when its runner crashes."""

    digest: bytes
    sent_ms: float
    broke_ms: float


class CrashTracker:
    """Keeps the node's records of requests that runners have crashed while running.

    A node whose call breaks checks whether the runner has crashed, and reports it to
    the request's home nodes, the first ones in the order of its digest. They count the
    crashes, and notify all nodes once several runners have crashed while running the
    request. A crash thus costs one datagram per call and home node, whatever the size
    of the fleet, and only a suspected request costs one per node. Records that are lost
    on the way are repeated by gossip, and a node that starts gets them with the rest of
    the state. The store is not needed.
    """

    def __init__(
        self,
        *,
        records: CrashRecords,
        connection_pool: RunnerConnectionPool,
        table: RunnerTable,
        homes: HomeNodes,
        membership: Membership,
        socket: PeerSocket,
        tasks: BackgroundTasks,
        timers: TimerService,
        decisions: DecisionRing,
        fault_reports: FaultReports,
    ) -> None:
        self._fault_reports = fault_reports
        self._records = records
        self._connection_pool = connection_pool
        self._table = table
        self._homes = homes
        self._membership = membership
        self._socket = socket
        self._tasks = tasks
        self._timers = timers
        self._decisions = decisions
        self._broken_calls: dict[str, list[BrokenCall]] = {}
        self._next_note_index = 0
        socket.handle(CrashReport, self._receive_report)
        socket.handle(CrashNews, self._receive_news)

    def check(self, admitted: AdmittedCall) -> None:
        """Raise ``RequestError`` if a call's request is currently refused."""
        left_ms = self.refused_for_ms(admitted)
        if not left_ms:
            return
        digest = admitted.digest
        record = self._records.get(digest)
        self._decisions.record(
            Event.REQUEST_BARRED,
            request_id=admitted.call.call_id,
            request_digest=digest.hex(),
            crashes=record.crashes,
            runners=record.runners,
            last_age_ms=round(self._timers.now_ms() - record.last_ms),
            left_ms=round(left_ms),
        )
        raise RequestError(
            status=503,
            outcome=Outcome.NOT_RUN,
            step="check_crashes",
            reason=f"{record.crashes} runners ended while they ran this request",
            retry_after_ms=round(left_ms),
        )

    def refused_for_ms(self, admitted: AdmittedCall) -> float:
        """Return for how many more milliseconds a call's request is refused, or 0."""
        if self._records.is_empty:
            return 0.0
        now_ms = self._timers.now_ms()
        return self._records.refused_for_ms(admitted.digest, now_ms=now_ms)

    def is_suspect(self, admitted: AdmittedCall) -> bool:
        """Return whether several runners have crashed while running a request."""
        return not self._records.is_empty and self._records.is_suspect(admitted.digest)

    def isolation_key(self, admitted: AdmittedCall) -> int | None:
        """Return the key that routes a suspected request, or None for any other.

        Routed by its prompt, it would run beside the same requests as before, and the
        next crash would count against all of them again.
        """
        if not self.is_suspect(admitted):
            return None
        return _key_of(admitted.digest)

    def record_broken_call(
        self, admitted: AdmittedCall, runner: Runner, *, sent_ms: float
    ) -> None:
        """Record a call that broke, and check its runner unless that is draining."""
        entry = self._table.get(runner.runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            # A draining runner ends as planned.
            return
        if not self._table.is_current(runner):
            return
        call = BrokenCall(admitted.digest, sent_ms, self._timers.now_ms())
        broken_calls = self._broken_calls.setdefault(runner.lifetime, [])
        broken_calls.append(call)
        if len(broken_calls) == 1:
            self._tasks.spawn(self._probe_runner(runner), name="look_into_break")

    def record_answer(self, admitted: AdmittedCall) -> None:
        """Clear a call's request after a runner has answered it without crashing."""
        if self._records.is_empty:
            return
        digest = admitted.digest
        now_ms = self._timers.now_ms()
        record = self._records.record_answer(digest, now_ms=now_ms)
        if record is not None:
            self._log(digest, record)
            self._broadcast(digest, record)

    def merge_notes(self, notes: Iterable[CrashNote]) -> list[CrashNote]:
        """Merge records from a peer or the store, and return those that were new."""
        return [note for note in notes if self._merge_note(note)]

    def broadcast_notes(self, notes: Iterable[CrashNote]) -> None:
        """Merge records from the store, and send the new ones to the other nodes."""
        for note in self.merge_notes(notes):
            self._broadcast(note.digest, self._records.get(note.digest))

    def is_refused(self, digest: bytes) -> bool:
        """Return whether a request is currently refused."""
        now_ms = self._timers.now_ms()
        return self._records.refused_for_ms(digest, now_ms=now_ms) > 0

    def owned_refusals(self) -> dict[bytes, CrashRecord]:
        """Return the refused requests whose first home node is this one."""
        if self._records.is_empty:
            return {}
        local_id = self._membership.local_node.node_id
        return {
            digest: record
            for digest, record in self._records.records_to_share()
            if self.is_refused(digest)
            and self._homes.homes_of(_key_of(digest), max_nodes=1) == [local_id]
        }

    def newest_notes(self) -> list[CrashNote]:
        """Return the newest records, newest first, for a node that has just started."""
        shared = sorted(
            self._records.records_to_share(), key=lambda known: -known[1].last_ms
        )
        return [self._to_note(*known) for known in shared[:MAX_SNAPSHOT_NOTES]]

    def next_gossip_notes(self) -> list[CrashNote]:
        """Return the next few records in rotation, for one gossip message."""
        shared = list(self._records.records_to_share())
        if not shared:
            return []
        start = self._next_note_index % len(shared)
        self._next_note_index = start + NOTES_PER_GOSSIP
        rotated = [*shared[start:], *shared[:start]]
        return [self._to_note(*known) for known in islice(rotated, NOTES_PER_GOSSIP)]

    def drop_expired(self) -> None:
        """Drop the records of requests without a recent crash."""
        self._records.drop_expired(now_ms=self._timers.now_ms())

    async def _probe_runner(self, runner: Runner) -> None:
        """Report the calls that broke at a runner.

        Calls also break when a connection is reset or a response is malformed. The
        runner still accepts connections then, and the request is not suspected. Nor is
        it if another node reaches the runner: then only this node has lost its path.
        """
        await asyncio.sleep(PROBE_DELAY_MS / MS_PER_S)
        is_listening = await self._connection_pool.is_listening(runner)
        has_ended = not is_listening and await self._fault_reports.has_ended(runner)
        broken = self._broken_calls.pop(runner.lifetime)
        if is_listening or has_ended:
            self._fault_reports.record_broken(runner, calls=len(broken))
        if not has_ended:
            return
        log_event(Event.RUNNER_ENDED, runner=runner.runner_id, calls=len(broken))
        for call in broken:
            self._report(call, runner)

    def _report(self, call: BrokenCall, runner: Runner) -> None:
        now_ms = self._timers.now_ms()
        report = CrashReport(
            call.digest,
            runner.lifetime,
            round(now_ms - call.sent_ms),
            round(now_ms - call.broke_ms),
        )
        local_id = self._membership.local_node.node_id
        homes = self._homes.homes_of(_key_of(call.digest), max_nodes=HOMES_PER_REQUEST)
        for home_id in homes:
            home = self._membership.node(home_id)
            if home_id == local_id:
                self._record_report(report)
            elif home is not None:
                self._socket.send(PeerAddress.of(home), report)

    def _receive_report(self, received: PeerMessage) -> None:
        self._record_report(received.message)

    def _record_report(self, report: CrashReport) -> None:
        now_ms = self._timers.now_ms()
        record = self._records.record_crash(
            report.digest,
            lifetime=report.runner,
            sent_ms=now_ms - report.sent_age_ms,
            crashed_ms=now_ms - report.ended_age_ms,
        )
        if record is not None:
            self._log(report.digest, record)
            self._broadcast(report.digest, record)

    def _receive_news(self, received: PeerMessage) -> None:
        self.merge_notes(received.message.crashes)

    def _merge_note(self, note: CrashNote) -> bool:
        now_ms = self._timers.now_ms()
        record = CrashRecord(
            note.clears, note.crashes, tuple(note.runners), now_ms - note.age_ms
        )
        is_new = self._records.merge(note.digest, record, now_ms=now_ms)
        if is_new:
            self._log(note.digest, record)
        return is_new

    def _broadcast(self, digest: bytes, record: CrashRecord) -> None:
        local_node = self._membership.local_node
        peers = [PeerAddress.of(n) for n in self._membership.alive() if n != local_node]
        self._socket.send_all(peers, CrashNews([self._to_note(digest, record)]))

    def _log(self, digest: bytes, record: CrashRecord) -> None:
        if not record.crashes:
            log_event(Event.REQUEST_CLEARED, request_digest=digest.hex())
            return
        now_ms = self._timers.now_ms()
        left_ms = self._records.refused_for_ms(digest, now_ms=now_ms)
        log_event(
            Event.REQUEST_SUSPECTED,
            request_digest=digest.hex(),
            crashes=record.crashes,
            runners=record.runners,
            is_refused=left_ms > 0,
        )

    def _to_note(self, digest: bytes, record: CrashRecord) -> CrashNote:
        return CrashNote(
            digest,
            record.clears,
            record.crashes,
            list(record.runners),
            max(0, round(self._timers.now_ms() - record.last_ms)),
        )


def _key_of(digest: bytes) -> int:
    return int.from_bytes(digest[:KEY_BYTES], "big")
