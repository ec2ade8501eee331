"""Task of one claim shard: batches claims and reports into conditional updates."""

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
MAX_QUEUED_REPORTS = 10_000
RETRY_DELAY_MS = 200.0
MIN_WRITE_INTERVAL_MS = 100.0
"""Minimum interval between two writes of a shard."""
MAX_REPORT_DELAY_MS = 1_000.0
"""Maximum time that a report waits to be written together with a claim."""


class PendingClaim(NamedTuple):
    """A claim awaiting a decision, and the time until which its holder waits."""

    attempt: ClaimAttempt
    deadline_ms: float
    on_decision: Callable[[ClaimDecision], None]


class ShardTask:
    """Decides the claims of one shard and stores them on the platform."""

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
        self._pending: list[PendingClaim] = []
        self._reports: list[ClaimReport] = []
        self._wake = asyncio.Event()
        self._tasks = BackgroundTasks()
        self._last_write_ms = 0.0
        self._first_report_ms = 0.0
        self.writes = 0
        """Number of conditional updates sent to the platform."""

    async def __aenter__(self) -> Self:
        """Start the task."""
        self._tasks.spawn(self._run(), name=self._name)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the task; requests whose claims are still pending do not run."""
        await self._tasks.__aexit__(*exc_info)

    @property
    def is_idle(self) -> bool:
        """Whether no claim or report is waiting to be stored."""
        return not self._pending and not self._reports

    def submit(self, pending: PendingClaim) -> None:
        """Add a claim; its callback is called at most once with the decision."""
        self._pending.append(pending)
        self._wake.set()

    def report(self, report: ClaimReport) -> None:
        """Add a report; the oldest one is dropped when the queue is full.

        The key of a dropped report stays ``unknown`` until it expires, which is safe.
        """
        # A claim must not be stored after its holder has reported.
        self._pending = [
            pending
            for pending in self._pending
            if pending.attempt.holder != report.holder
        ]
        self._chain.apply_report(report)
        if not self._reports:
            self._first_report_ms = self._timers.now_ms()
        self._reports.append(report)
        del self._reports[:-MAX_QUEUED_REPORTS]
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._batch_ms / MS_PER_S)
            self._wake.clear()
            delay_ms = await self._process_pending()
            if delay_ms > 0.0:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_ms / MS_PER_S, self._wake.set)

    async def _process_pending(self) -> float:
        """Resolve claims and write what is due.

        Returns the delay in ms after which to run again, or 0 to wait for new input.
        """
        self._drop_expired()
        if self.is_idle:
            return 0.0
        try:
            await self._load()
            self._resolve_decided()
            if self.is_idle:
                return 0.0
            wait_ms = self._write_due_ms() - self._timers.now_ms()
            if wait_ms > 0.0:
                return wait_ms
            return 0.0 if await self._write() else RETRY_DELAY_MS
        except (PlatformError, msgspec.DecodeError) as error:
            log_event(Event.PLATFORM_AWAY, step=self._name, reason=str(error))
            self._chain.mark_stale()
            return RETRY_DELAY_MS

    def _write_due_ms(self) -> float:
        # The platform accepts some hundred writes a second from the whole fleet.
        # Without pacing, 1,000 claims a second cause 912 writes, since the report of
        # each granted claim is written separately.
        next_write_ms = self._last_write_ms + MIN_WRITE_INTERVAL_MS
        if self._pending:
            return next_write_ms
        return max(next_write_ms, self._first_report_ms + MAX_REPORT_DELAY_MS)

    def _drop_expired(self) -> None:
        # The holder has answered its caller "not run", so a grant would go unused.
        now_ms = self._timers.now_ms()
        self._pending = [
            pending for pending in self._pending if pending.deadline_ms > now_ms
        ]

    async def _load(self) -> None:
        if self._chain.is_loaded:
            return
        self._chain.load(await self._store.read())
        for report in self._reports:
            self._chain.apply_report(report)

    def _resolve_decided(self) -> None:
        undecided = []
        for pending in self._pending:
            decision = self._chain.decide(pending.attempt)
            if decision is None:
                undecided.append(pending)
            else:
                pending.on_decision(decision)
        self._pending = undecided

    async def _write(self) -> bool:
        claims = list(self._pending)
        reports = list(self._reports)
        self._last_write_ms = self._timers.now_ms()
        try:
            await self._write_until_claims(claims, reports)
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
        log_event(Event.CLAIMS_WRITTEN, shard=self._name, claims=len(claims))
        self._resolve_decided()
        return True

    async def _write_until_claims(
        self, claims: list[PendingClaim], reports: list[ClaimReport]
    ) -> None:
        """Perform the writes that must precede the claims, then write the claims."""
        while True:
            write = self._chain.next_write(
                [pending.attempt for pending in claims],
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
