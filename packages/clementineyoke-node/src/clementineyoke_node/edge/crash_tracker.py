"""Learn under which requests runners end, with the other nodes, and refuse those."""

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
    from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.timers.background_tasks import BackgroundTasks
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
LOOK_AFTER_MS = 20.0
"""From the first call that broke at a runner until the node looks whether it has ended:
the other calls break in the same moment, and a process that is being ended may close
its listener last."""
HOMES_A_REQUEST = 3
"""Nodes that count for a request: one may be down and one may just have started."""
NOTES_A_GOSSIP = 2
"""Records that go along with each probe and its reply."""
MOST_NOTES = 256
"""Records that a node hands to one that has just started."""
KEY_BYTES = 8


class BrokenCall(NamedTuple):
    """A call whose answer broke, as when its runner ends."""

    digest: bytes
    sent_ms: float
    broke_ms: float


class CrashTracker:
    """Own what this node knows of requests under which runners have ended.

    A node whose call breaks looks whether the runner has ended, and tells the request's
    homes: the first nodes in the order of its mark. They count, and tell all nodes once
    several runners have ended under it. So an end costs one datagram a call and home,
    whatever the fleet's size, and only a suspected request costs one a node. What is
    lost on the way goes on by gossip; a node that starts takes the records over with
    the rest of the state. Nothing here needs the store.
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
    ) -> None:
        self._records = records
        self._link = connection_pool
        self._table = table
        self._homes = homes
        self._membership = membership
        self._socket = socket
        self._tasks = tasks
        self._timers = timers
        self._decisions = decisions
        self._broken: dict[str, list[BrokenCall]] = {}
        self._next_note = 0
        socket.handle(CrashReport, self._receive_report)
        socket.handle(CrashNews, self._receive_news)

    def check(self, admitted: AdmittedCall) -> None:
        """Raise ``RequestError`` for a request that is refused for now."""
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
        """Return how much longer a call's request is refused; 0 if it may be sent."""
        if self._records.is_empty:
            return 0.0
        now_ms = self._timers.now_ms()
        return self._records.refused_for_ms(admitted.digest, now_ms=now_ms)

    def is_suspect(self, admitted: AdmittedCall) -> bool:
        """Whether several runners have ended under a call's request."""
        return not self._records.is_empty and self._records.is_suspect(admitted.digest)

    def key_apart(self, admitted: AdmittedCall) -> int | None:
        """Return the key by which a suspected request finds a runner, else None.

        By its prompt it would go where those go who stood beside it before, and the
        next end would count against all of them again.
        """
        if not self.is_suspect(admitted):
            return None
        return _key_of(admitted.digest)

    def note_break(
        self, admitted: AdmittedCall, runner: Runner, *, sent_ms: float
    ) -> None:
        """Look into the break of a call at a runner that was not leaving."""
        entry = self._table.get(runner.runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            # Its end was planned.
            return
        if not self._table.is_current(runner):
            return
        call = BrokenCall(admitted.digest, sent_ms, self._timers.now_ms())
        waiting = self._broken.setdefault(runner.lifetime, [])
        waiting.append(call)
        if len(waiting) == 1:
            self._tasks.spawn(self._look_into(runner), name="look_into_break")

    def note_answer(self, admitted: AdmittedCall) -> None:
        """Clear a call's request, which a runner has answered and lives."""
        if self._records.is_empty:
            return
        digest = admitted.digest
        now_ms = self._timers.now_ms()
        record = self._records.record_answer(digest, now_ms=now_ms)
        if record is not None:
            self._log(digest, record)
            self._tell(digest, record)

    def merge_notes(self, notes: Iterable[CrashNote]) -> list[CrashNote]:
        """Take what a peer or the store knows; return what was news."""
        return [note for note in notes if self._take(note)]

    def tell_notes(self, notes: Iterable[CrashNote]) -> None:
        """Take what the store held, and tell the other nodes what was news."""
        for note in self.merge_notes(notes):
            self._tell(note.digest, self._records.get(note.digest))

    def is_refused(self, digest: bytes) -> bool:
        """Whether a request is refused now."""
        now_ms = self._timers.now_ms()
        return self._records.refused_for_ms(digest, now_ms=now_ms) > 0

    def refused_here(self) -> dict[bytes, CrashRecord]:
        """Return the refused requests of which this node is the first home."""
        if self._records.is_empty:
            return {}
        own_id = self._membership.local_node.node_id
        return {
            digest: record
            for digest, record in self._records.records_to_share()
            if self.is_refused(digest)
            and self._homes.homes_of(_key_of(digest), max_nodes=1) == [own_id]
        }

    def newest_notes(self) -> list[CrashNote]:
        """Return the records for a node that has just started, the newest first."""
        shared = sorted(
            self._records.records_to_share(), key=lambda known: -known[1].last_ms
        )
        return [self._to_note(*known) for known in shared[:MOST_NOTES]]

    def next_gossip_notes(self) -> list[CrashNote]:
        """Return some of the records, others each time."""
        shared = list(self._records.records_to_share())
        if not shared:
            return []
        start = self._next_note % len(shared)
        self._next_note = start + NOTES_A_GOSSIP
        turned = [*shared[start:], *shared[:start]]
        return [self._to_note(*known) for known in islice(turned, NOTES_A_GOSSIP)]

    def drop_expired(self) -> None:
        """Forget what has not happened again for long."""
        self._records.drop_expired(now_ms=self._timers.now_ms())

    async def _look_into(self, runner: Runner) -> None:
        """Report the calls that broke at a runner, if it has ended.

        Answers also break where a connection is reset or an answer is spoilt. That says
        nothing of the request, and the runner goes on taking connections.
        """
        await asyncio.sleep(LOOK_AFTER_MS / MS_PER_S)
        is_listening = await self._link.is_listening(runner)
        broken = self._broken.pop(runner.lifetime)
        if is_listening:
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
        own_id = self._membership.local_node.node_id
        homes = self._homes.homes_of(_key_of(call.digest), max_nodes=HOMES_A_REQUEST)
        for home_id in homes:
            home = self._membership.node(home_id)
            if home_id == own_id:
                self._take_report(report)
            elif home is not None:
                self._socket.send(PeerAddress.of(home), report)

    def _receive_report(self, received: PeerMessage) -> None:
        self._take_report(received.message)

    def _take_report(self, report: CrashReport) -> None:
        now_ms = self._timers.now_ms()
        record = self._records.record_crash(
            report.digest,
            lifetime=report.runner,
            sent_ms=now_ms - report.sent_age_ms,
            crashed_ms=now_ms - report.ended_age_ms,
        )
        if record is not None:
            self._log(report.digest, record)
            self._tell(report.digest, record)

    def _receive_news(self, received: PeerMessage) -> None:
        self.merge_notes(received.message.crashes)

    def _take(self, note: CrashNote) -> bool:
        now_ms = self._timers.now_ms()
        record = CrashRecord(
            note.clears, note.crashes, tuple(note.runners), now_ms - note.age_ms
        )
        is_news = self._records.merge(note.digest, record, now_ms=now_ms)
        if is_news:
            self._log(note.digest, record)
        return is_news

    def _tell(self, digest: bytes, record: CrashRecord) -> None:
        own = self._membership.local_node
        peers = [PeerAddress.of(n) for n in self._membership.alive() if n != own]
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
