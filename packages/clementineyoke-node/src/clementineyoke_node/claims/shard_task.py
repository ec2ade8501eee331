"""One shard's home: batch asks and reports into conditional updates."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Self

import msgspec

from clementineyoke_core.claims.chain import ClaimChain, WriteKind
from clementineyoke_node.claims.chain_store import ChainStore
from clementineyoke_node.objects.platform_error import (
    PlatformError,
    VersionConflictError,
)
from clementineyoke_node.timers.background_tasks import BackgroundTasks
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_core.claims.decision import ClaimDecision
    from clementineyoke_core.claims.messages import ClaimAttempt, ClaimReport
    from clementineyoke_node.objects.object_api import ObjectApi
    from clementineyoke_node.timers.timer_service import TimerService

MS_PER_S = 1000.0
MOST_QUEUED_REPORTS = 10_000
RETRY_PAUSE_MS = 200.0
WRITE_INTERVAL_MS = 100.0
"""Shortest time between two writes of a shard."""
REPORT_PATIENCE_MS = 1_000.0
"""How long a report waits for an ask's write to go along with."""


class PendingClaim(NamedTuple):
    """An ask that waits for a verdict, and until when its holder waits."""

    ask: ClaimAttempt
    gives_up_ms: float
    answer: Callable[[ClaimDecision], None]


class ShardTask:
    """Own one shard and its object; talk through ``ask`` and ``report``."""

    def __init__(
        self,
        *,
        name: str,
        objects: ObjectApi,
        timers: TimerService,
        batch_ms: float,
    ) -> None:
        self._name = name
        self._objects = objects
        self._timers = timers
        self._batch_ms = batch_ms
        self._chain = ClaimChain(shard=name)
        self._store = ChainStore(shard=name, objects=objects)
        self._asks: list[PendingClaim] = []
        self._reports: list[ClaimReport] = []
        self._wake = asyncio.Event()
        self._tasks = BackgroundTasks()
        self._written_ms = 0.0
        self._first_report_ms = 0.0
        self.writes = 0
        """Conditional updates sent to the platform."""

    async def __aenter__(self) -> Self:
        """Start the task."""
        self._tasks.spawn(self._run(), name=self._name)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End the task; asks still pending get no answer, so nothing runs."""
        await self._tasks.__aexit__(*exc_info)

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits to become durable."""
        return not self._asks and not self._reports

    def submit(self, pending: PendingClaim) -> None:
        """Take an ask; its answer comes by the callback, or never."""
        self._asks.append(pending)
        self._wake.set()

    def report(self, report: ClaimReport) -> None:
        """Take a report; the oldest is dropped when too many wait.

        A dropped report leaves its key at ``unknown`` until it expires, which is safe.
        """
        # An ask whose holder has given up must not become durable after this.
        self._asks = [
            pending for pending in self._asks if pending.ask.holder != report.holder
        ]
        self._chain.apply_report(report)
        if not self._reports:
            self._first_report_ms = self._timers.now_ms()
        self._reports.append(report)
        del self._reports[:-MOST_QUEUED_REPORTS]
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._batch_ms / MS_PER_S)
            self._wake.clear()
            pause_ms = await self._settle()
            if pause_ms > 0.0:
                loop = asyncio.get_running_loop()
                loop.call_later(pause_ms / MS_PER_S, self._wake.set)

    async def _settle(self) -> float:
        """Answer and write what is due; return after how long to look again, or 0."""
        self._drop_late_asks()
        if self.is_idle:
            return 0.0
        try:
            await self._load()
            self._answer_decided()
            if self.is_idle:
                return 0.0
            wait_ms = self._write_due_ms() - self._timers.now_ms()
            if wait_ms > 0.0:
                return wait_ms
            return 0.0 if await self._write() else RETRY_PAUSE_MS
        except (PlatformError, msgspec.DecodeError) as error:
            log_event(Event.PLATFORM_AWAY, step=self._name, reason=str(error))
            self._chain.mark_stale()
            return RETRY_PAUSE_MS

    def _write_due_ms(self) -> float:
        # The platform takes some hundred writes a second from the whole fleet. Unpaced,
        # 1,000 posts a second cost 912 of them, since each grant's report wrote alone.
        next_write_ms = self._written_ms + WRITE_INTERVAL_MS
        if self._asks:
            return next_write_ms
        return max(next_write_ms, self._first_report_ms + REPORT_PATIENCE_MS)

    def _drop_late_asks(self) -> None:
        # The holder told its caller "not run" by now; a grant would be for nobody.
        now_ms = self._timers.now_ms()
        self._asks = [ask for ask in self._asks if ask.gives_up_ms > now_ms]

    async def _load(self) -> None:
        if self._chain.is_loaded:
            return
        self._chain.load(await self._store.read())
        for report in self._reports:
            self._chain.apply_report(report)

    def _answer_decided(self) -> None:
        undecided = []
        for pending in self._asks:
            decision = self._chain.decide(pending.ask)
            if decision is None:
                undecided.append(pending)
            else:
                pending.answer(decision)
        self._asks = undecided

    async def _write(self) -> bool:
        asks = list(self._asks)
        reports = list(self._reports)
        self._written_ms = self._timers.now_ms()
        try:
            await self._write_until_claims(asks, reports)
        except VersionConflictError:
            log_event(Event.CLAIMS_CONFLICT, shard=self._name)
            self._chain.mark_stale()
            return False
        except PlatformError as error:
            log_event(Event.CLAIMS_UNSURE, shard=self._name, reason=error.reason)
            self._chain.mark_stale()
            return False
        del self._reports[: len(reports)]
        for report in self._reports:
            self._chain.apply_report(report)
        log_event(Event.CLAIMS_WRITTEN, shard=self._name, claims=len(asks))
        self._answer_decided()
        return True

    async def _write_until_claims(
        self, asks: list[PendingClaim], reports: list[ClaimReport]
    ) -> None:
        """Write what is due before the claims, then the claims."""
        while True:
            write = self._chain.next_write(
                [pending.ask for pending in asks],
                reports,
                wall_ms=self._timers.wall_ms(),
            )
            self.writes += 1
            version = await self._objects.write(
                write.name, write.body, expected_version=write.expected_version
            )
            self._chain.record_written(write, version=version)
            if write.kind is WriteKind.CLAIMS:
                return
