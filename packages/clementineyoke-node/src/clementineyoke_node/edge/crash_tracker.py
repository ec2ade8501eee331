"""Detects what crashes runners, shares it among the nodes and refuses such calls."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.crash_factors import is_part, part_digest
from clementineyoke_core.edge.crash_records import CRASHES_TO_SUSPECT, Crash
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.request_error import RequestError
from clementineyoke_core.runner_state import RunnerState
from clementineyoke_node.edge.crash_notes import to_note, to_record
from clementineyoke_node.edge.crash_trials import key_of
from clementineyoke_node.edge.runner_liveness import PROBE_DELAY_MS
from clementineyoke_node.peers.peer_socket import PeerAddress
from clementineyoke_wire.events import Event, log_event
from clementineyoke_wire.messages import CrashNews, CrashNote, CrashReport

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.edge.admission import AdmittedCall
    from clementineyoke_core.edge.answered_factors import AnsweredFactors
    from clementineyoke_core.edge.crash_factors import CrashFactors
    from clementineyoke_core.edge.crash_judge import CrashJudge, Verdict
    from clementineyoke_core.edge.crash_records import CrashRecord, CrashRecords
    from clementineyoke_core.home_nodes import HomeNodes
    from clementineyoke_core.membership import Membership
    from clementineyoke_core.runner import Runner
    from clementineyoke_core.runner_table import RunnerTable
    from clementineyoke_node.callers.decision_ring import DecisionRing
    from clementineyoke_node.edge.crash_trials import CrashTrials
    from clementineyoke_node.edge.fault_reports import FaultReports
    from clementineyoke_node.edge.runner_connection_pool import RunnerConnectionPool
    from clementineyoke_node.metrics import Metrics
    from clementineyoke_node.peers.peer_socket import PeerMessage, PeerSocket
    from clementineyoke_node.timers.background_tasks import BackgroundTasks
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
HOMES_PER_FACTOR = 3
"""Nodes that count the crashes of a factor: one may be down and one may just have
started."""
NEWS_DELAY_MS = 20.0
"""Delay from a change of a record to its broadcast: a crash changes records of several
factors, and the calls that break with it are reported at about the same time."""
NOTES_PER_NEWS = 4
"""Records in a datagram, which should not be split on the way."""
MESSAGES_PER_NOTE = 2
"""Gossip messages, probes and replies, for each record that is attached to one."""
NOTES_PER_OTHER = 4
"""Attached records for each one that may be of a factor without several crashes."""
MAX_SNAPSHOT_NOTES = 256
"""Records sent to a node that has just started."""


class BrokenCall(NamedTuple):
    """A call whose connection broke, as when its runner crashes."""

    factors: CrashFactors
    sent_ms: float
    broke_ms: float


class AnsweredCall(NamedTuple):
    """A call whose answer clears its factors if the runner lives on."""

    factors: CrashFactors
    answered_ms: float


class CrashTracker:
    """Keeps the node's records of what runners had in common when they crashed.

    A node whose call breaks checks whether the runner has crashed, and reports it to
    the home nodes of the call's factors, the first ones in the order of their digests.
    They count the crashes, and notify all nodes once several runners have crashed under
    a factor. A crash thus costs a few datagrams per call, whatever the size of the
    fleet, and only a suspected factor costs one per node. Records that are lost on the
    way are repeated by gossip, and a node that starts gets them with the rest of the
    state. The store is not needed.
    """

    def __init__(
        self,
        *,
        records: CrashRecords,
        judge: CrashJudge,
        answered: AnsweredFactors,
        trials: CrashTrials,
        connection_pool: RunnerConnectionPool,
        table: RunnerTable,
        homes: HomeNodes,
        membership: Membership,
        socket: PeerSocket,
        tasks: BackgroundTasks,
        timers: TimerService,
        decisions: DecisionRing,
        fault_reports: FaultReports,
        metrics: Metrics,
    ) -> None:
        self._records = records
        self._judge = judge
        self._answered = answered
        self._trials = trials
        self._connection_pool = connection_pool
        self._table = table
        self._homes = homes
        self._membership = membership
        self._socket = socket
        self._tasks = tasks
        self._timers = timers
        self._decisions = decisions
        self._fault_reports = fault_reports
        self._metrics = metrics
        self._broken_calls: dict[str, list[BrokenCall]] = {}
        self._answered_calls: dict[str, list[AnsweredCall]] = {}
        """Answered calls by the lifetime of their runner, which is being checked."""
        self._unsent_news: dict[bytes, None] = {}
        self._gossip_count = 0
        socket.handle(CrashReport, self._receive_report)
        socket.handle(CrashNews, self._receive_news)

    async def check(self, admitted: AdmittedCall) -> None:
        """Raise ``RequestError`` if a call is refused for one of its factors."""
        verdict = self._verdict(admitted)
        if verdict is None:
            return
        left_ms = verdict.left_ms or await self._trials.wait_ms(verdict.digest)
        if left_ms:
            raise self.refuse(admitted, verdict._replace(left_ms=left_ms))

    def refusal(self, admitted: AdmittedCall) -> Verdict | None:
        """Return for which factor a call is refused at present, or None."""
        verdict = self._verdict(admitted)
        return verdict if verdict is not None and verdict.left_ms else None

    def may_be_cause(self, admitted: AdmittedCall) -> bool:
        """Return whether a call is a likely cause of the crashes of several runners."""
        return self.isolation_key(admitted) is not None

    def isolation_key(self, admitted: AdmittedCall) -> int | None:
        """Return the key that routes a suspected call, or None for any other.

        Routed by its prompt, it would run beside the same requests as before, and the
        next crash would count against all of them again.
        """
        if self._records.is_empty:
            return None
        causes = self._judge.likely_causes(admitted.crash_factors)
        if not causes:
            return None
        # The request itself or else its last suspected part: fewer other calls have it.
        return key_of(causes[-1] if is_part(causes[0]) else causes[0])

    def record_broken_call(
        self, admitted: AdmittedCall, runner: Runner, *, sent_ms: float
    ) -> None:
        """Record a call whose connection broke; the first one at a runner probes it."""
        entry = self._table.get(runner.runner_id)
        if entry is None or entry.state is RunnerState.DRAINING:
            # A leaving runner may end while calls are in flight. Their repeats meet the
            # next one that leaves.
            return
        if not self._table.is_current(runner):
            return
        call = BrokenCall(admitted.crash_factors, sent_ms, self._timers.now_ms())
        broken_calls = self._broken_calls.setdefault(runner.lifetime, [])
        broken_calls.append(call)
        if len(broken_calls) == 1:
            self._tasks.spawn(self._probe_runner(runner), name="look_into_break")

    def record_answer(self, admitted: AdmittedCall, runner: Runner) -> None:
        """Record a complete, successful answer, which clears the call's factors.

        They are cleared once it is known that the runner lives on.
        """
        factors = admitted.crash_factors
        now_ms = self._timers.now_ms()
        self._answered.record(factors, lifetime=runner.lifetime, now_ms=now_ms)
        if not any(self._records.get(digest).crashes for digest in factors.digests):
            return
        calls = self._answered_calls.setdefault(runner.lifetime, [])
        calls.append(AnsweredCall(factors, now_ms))
        if len(calls) == 1:
            self._tasks.spawn(self._clear_answered(runner), name="clear_answered")

    def merge_notes(self, notes: Iterable[CrashNote]) -> list[CrashNote]:
        """Merge records from a peer or the store, and return those that were new."""
        return [note for note in notes if self._merge_note(note)]

    def broadcast_notes(self, notes: Iterable[CrashNote]) -> None:
        """Merge records from the store, and send the new ones to the other nodes."""
        for note in self.merge_notes(notes):
            self._broadcast(note.digest)

    def is_refused(self, digest: bytes) -> bool:
        """Return whether calls with a factor are currently refused."""
        return self._judge.is_refused(digest, now_ms=self._timers.now_ms())

    def owned_refusals(self) -> dict[bytes, CrashRecord]:
        """Return the refused factors whose first home node is this one."""
        if self._records.is_empty:
            return {}
        local_id = self._membership.local_node.node_id
        return {
            digest: record
            for digest, record in self._records.records_to_share()
            if self.is_refused(digest)
            and self._homes.homes_of(key_of(digest), max_nodes=1) == [local_id]
        }

    def newest_notes(self) -> list[CrashNote]:
        """Return records for a node that has just started, suspects first."""
        shared = sorted(
            self._records.records_to_share(),
            key=lambda known: (not known[1].crashes, -known[1].last_ms),
        )
        return [self._to_note(*known) for known in shared[:MAX_SNAPSHOT_NOTES]]

    def next_gossip_notes(self) -> list[CrashNote]:
        """Return the record to attach to a gossip message, in rotation, if any.

        Every second message has one, mostly of a suspect.
        """
        self._gossip_count += 1
        if self._gossip_count % MESSAGES_PER_NOTE:
            return []
        number = self._gossip_count // MESSAGES_PER_NOTE
        shared = list(self._records.records_to_share())
        suspects = [known for known in shared if known[1].crashes >= CRASHES_TO_SUSPECT]
        known = shared if number % NOTES_PER_OTHER == 0 else suspects or shared
        return [self._to_note(*known[number % len(known)])] if known else []

    def drop_expired(self) -> None:
        """Drop the records of factors without a recent crash."""
        self._records.drop_expired(now_ms=self._timers.now_ms())
        self._metrics.crash_records.set({}, len(self._records))

    def _verdict(self, admitted: AdmittedCall) -> Verdict | None:
        if self._records.is_empty:
            return None
        return self._judge.verdict(admitted.crash_factors, now_ms=self._timers.now_ms())

    def refuse(
        self, admitted: AdmittedCall, verdict: Verdict, *, may_have_run: bool = False
    ) -> RequestError:
        """Log the refusal of a call and return its error."""
        record = verdict.record
        kind = _kind_of(verdict.digest)
        self._metrics.calls_refused_for_crashes.inc({"factor": kind})
        self._decisions.record(
            Event.REQUEST_BARRED,
            request_id=admitted.call.call_id,
            **_describe(verdict.digest),
            part=_part_id(admitted, verdict.digest),
            crashes=record.crashes,
            runners=record.runners,
            last_age_ms=round(self._timers.now_ms() - record.last_ms),
            left_ms=round(verdict.left_ms),
        )
        return RequestError(
            status=502 if may_have_run else 503,
            outcome=Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
            step="check_crashes",
            reason=(
                f"{record.crashes} runners ended while they ran this request"
                if kind == "request"
                else f"{record.crashes} runners ended under a part of this prompt"
            ),
            retry_after_ms=round(verdict.left_ms),
        )

    async def _probe_runner(self, runner: Runner) -> None:
        """Report the calls that broke at a runner.

        Calls also break when a connection is reset or a response is malformed. The
        runner still accepts connections then, and no call is suspected. Nor is it if
        another node reaches the runner: then only this node has lost its path.
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
        self._metrics.runner_crashes.inc({"pool": runner.pool})
        for call in broken:
            self._report(call, runner)

    async def _clear_answered(self, runner: Runner) -> None:
        """Clear the factors of answered calls if their runner lives on."""
        await asyncio.sleep(PROBE_DELAY_MS / MS_PER_S)
        lives_on = await self._connection_pool.accepts_connection(runner)
        answered = self._answered_calls.pop(runner.lifetime)
        if not lives_on:
            return
        for factors, answered_ms in answered:
            for digest in factors.digests:
                self._clear(digest, factors.team, answered_ms=answered_ms)

    def _clear(self, digest: bytes, team: int, *, answered_ms: float) -> None:
        """Clear a factor here and at its home nodes, which tell all others.

        Many nodes may answer calls with a popular part at the same moment.
        """
        record = self._records.record_answer(digest, now_ms=answered_ms, team=team)
        if record is None:
            return
        self._log(digest, record)
        home_ids = self._home_ids(digest)
        if self._membership.local_node.node_id in home_ids:
            self._broadcast(digest)
            return
        news = CrashNews([self._to_note(digest, record)])
        for home_id in home_ids:
            home = self._membership.node(home_id)
            if home is not None:
                self._socket.send(PeerAddress.of(home), news)

    def _report(self, call: BrokenCall, runner: Runner) -> None:
        now_ms = self._timers.now_ms()
        factors = call.factors
        report = CrashReport(
            factors.request,
            runner.lifetime,
            round(now_ms - call.sent_ms),
            round(now_ms - call.broke_ms),
            list(factors.parts),
            factors.team,
            [self._answered_age_ms(d, call, runner) for d in factors.digests],
        )
        local_id = self._membership.local_node.node_id
        home_ids = {
            home_id for digest in factors.digests for home_id in self._home_ids(digest)
        }
        for home_id in home_ids:
            home = self._membership.node(home_id)
            if home_id == local_id:
                self._record_report(report)
            elif home is not None:
                self._socket.send(PeerAddress.of(home), report)

    def _home_ids(self, digest: bytes) -> list[str]:
        return self._homes.homes_of(key_of(digest), max_nodes=HOMES_PER_FACTOR)

    def _answered_age_ms(self, digest: bytes, call: BrokenCall, runner: Runner) -> int:
        """Return one more than the time since an answer with a factor, or 0."""
        crash = Crash(runner.lifetime, call.broke_ms)
        answered_ms = self._answered.answered_ms(
            digest, call.factors.team, crashes=[crash]
        )
        if answered_ms is None:
            return 0
        return round(self._timers.now_ms() - answered_ms) + 1

    def _receive_report(self, received: PeerMessage) -> None:
        self._record_report(received.message)

    def _record_report(self, report: CrashReport) -> None:
        """Record a crash for the factors of a call that this node is home of."""
        now_ms = self._timers.now_ms()
        local_id = self._membership.local_node.node_id
        digests = [report.digest, *report.parts]
        ages = report.answered_ages_ms or [0] * len(digests)
        for digest, answered_age_ms in zip(digests, ages, strict=False):
            if local_id not in self._home_ids(digest):
                continue
            record = self._records.record_crash(
                digest,
                lifetime=report.runner,
                sent_ms=now_ms - report.sent_age_ms,
                crashed_ms=now_ms - report.ended_age_ms,
                companions=[other for other in digests if other != digest],
                team=report.team if is_part(digest) else None,
                answered_ms=now_ms - answered_age_ms + 1 if answered_age_ms else None,
            )
            if record is not None:
                self._log(digest, record)
                self._broadcast(digest)

    def _receive_news(self, received: PeerMessage) -> None:
        self.merge_notes(received.message.crashes)

    def _merge_note(self, note: CrashNote) -> bool:
        now_ms = self._timers.now_ms()
        record = to_record(note, now_ms=now_ms)
        known_clears = self._records.get(note.digest).clears
        if not self._records.merge(note.digest, record, now_ms=now_ms):
            return False
        self._log(note.digest, record)
        self._apply_answers(note.digest, record)
        local_id = self._membership.local_node.node_id
        if note.clears > known_clears and local_id in self._home_ids(note.digest):
            self._broadcast(note.digest)
        return True

    def _apply_answers(self, digest: bytes, record: CrashRecord) -> None:
        """Clear a factor until an answer that this node saw before the record came."""
        if record.crashes < CRASHES_TO_SUSPECT:
            return
        for team in record.teams:
            answered_ms = self._answered.answered_ms(
                digest, team, crashes=record.history
            )
            if answered_ms is not None:
                self._clear(digest, team, answered_ms=answered_ms)

    def _broadcast(self, digest: bytes) -> None:
        """Send a record to all nodes, after a moment for further changes."""
        if not self._unsent_news:
            self._tasks.spawn(self._send_news(), name="crash_news")
        self._unsent_news[digest] = None

    async def _send_news(self) -> None:
        await asyncio.sleep(NEWS_DELAY_MS / MS_PER_S)
        digests = list(self._unsent_news)
        self._unsent_news.clear()
        notes = [self._to_note(digest, self._records.get(digest)) for digest in digests]
        local_node = self._membership.local_node
        peers = [PeerAddress.of(n) for n in self._membership.alive() if n != local_node]
        remaining = iter([note for note in notes if note.clears or note.crashes])
        while batch := list(islice(remaining, NOTES_PER_NEWS)):
            self._socket.send_all(peers, CrashNews(batch))

    def _log(self, digest: bytes, record: CrashRecord) -> None:
        if not record.crashes:
            log_event(Event.REQUEST_CLEARED, **_describe(digest))
            return
        log_event(
            Event.REQUEST_SUSPECTED,
            **_describe(digest),
            crashes=record.crashes,
            runners=record.runners,
            is_refused=self.is_refused(digest),
        )

    def _to_note(self, digest: bytes, record: CrashRecord) -> CrashNote:
        return to_note(digest, record, now_ms=self._timers.now_ms())


def _kind_of(digest: bytes) -> str:
    return "part" if is_part(digest) else "request"


def _describe(digest: bytes) -> dict[str, str]:
    """Return the log field that names a factor."""
    return {f"{_kind_of(digest)}_digest": digest.hex()}


def _part_id(admitted: AdmittedCall, digest: bytes) -> str | None:
    """Return the id of the part of a call's prompt that has a digest, or None."""
    for part in admitted.call.prompt_parts[:-1]:
        if part_digest(part.part_id) == digest:
            return part.part_id
    return None
