"""Tells the end of an answer from that of its runner."""

from __future__ import annotations

import asyncio
import math
from contextlib import contextmanager
from functools import partial
from typing import TYPE_CHECKING, NamedTuple, Protocol

from clementineyoke_core.edge.attempt_ledger import AttemptOutcome
from clementineyoke_node.edge.attempt_error import AttemptError
from clementineyoke_node.edge.runner_connections import CRASH_SPREAD_MS, Address
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_wire.response_head import BodyEnd

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterator

    from clementineyoke_core.runner import Runner
    from clementineyoke_node.edge.runner_connections import RunnerConnections
    from clementineyoke_node.edge.runner_protocol import RunnerProtocol
    from clementineyoke_node.platform.runner_codec import ResponseHead

MS_PER_S = 1000.0
PROBE_DELAY_MS = 20.0
"""Delay from the end of a connection to the check whether its runner has crashed: its
other connections end at the same moment, and a process that ends may close its
listening socket last."""
MIN_RESTART_MS = 100.0
"""Shortest time in which another process takes over the address of a runner, unless it
waited for it."""
FAST_RESTART_MS = 30.0
"""The same for a runner that comes back under its id and at its address."""
MAX_NETWORK_DELAY_S = 2.0
"""Longest time by which the end of a connection is taken to arrive late."""


def _ignore_end() -> None:
    """Let an end start no check."""


class EndDoubt(NamedTuple):
    """Why an answer may have ended because its runner did."""

    reason: str
    is_runner_fault: bool = True


ENDED = EndDoubt("the runner ended with an answer that has no length")
RESET = EndDoubt("an answer that has no length ended with a reset of its connection")
KNOWN = EndDoubt("the runner was known to have ended with an answer without a length")
MAY_BE_KNOWN = EndDoubt(
    "the runner was said to have ended before an answer without a length",
    is_runner_fault=False,
)
CUT = EndDoubt("other connections ended with an answer that has no length")
LATE = EndDoubt(
    "the end of an answer that has no length was noticed late", is_runner_fault=False
)
ENDED_TOGETHER = EndDoubt(
    "several answers that have no length ended together", is_runner_fault=False
)
DRAINS = EndDoubt(
    "an answer that has no length ended at a runner that drains", is_runner_fault=False
)


class EndEvidence(Protocol):
    """Tells when this node learnt that lifetimes of runners had ended."""

    def __call__(self, runner_id: str, *, since_ms: float, until_ms: float) -> bool:
        """Return whether evidence of a runner's end came within a time."""


class EndFindings(NamedTuple):
    """What the check of an answer's end has found."""

    doubt: EndDoubt | None = None
    """Why the answer must not count as whole."""
    slight_doubt: EndDoubt | None = None
    """Why it is worth a call at another runner."""
    is_proven: bool = False
    """Whether the runner has certainly outlived the end."""
    age_ms: float = 0.0
    """For how long the end had been there when the address was tried."""


class EndCheck:
    """The check of one answer, which starts at the end of its connection."""

    def __init__(
        self,
        runner: Runner,
        protocol: RunnerProtocol | None,
        check_end: Callable[[float], Coroutine[None, None, EndFindings]],
    ) -> None:
        self._runner = runner
        self._protocol = protocol
        self._check_end = check_end
        self._loop = asyncio.get_running_loop()
        self._ended_s = 0.0
        self.is_slight_doubt = False
        """Whether the end was in doubt only because another runner may go on."""
        self.findings = EndFindings()
        """What the check has found, once it has finished."""
        self._task: asyncio.Task[EndFindings] | None = None

    @property
    def waited_ms(self) -> float:
        """For how long the end has waited for this node to read it, as far as known."""
        return 0.0 if self._protocol is None else self._protocol.end_delay_s * MS_PER_S

    @property
    def _may_be_back(self) -> bool:
        """Whether the next lifetime of the runner may have passed for the one before.

        Only a runner whose entry has a start time comes back under its id.
        """
        is_late = self.findings.age_ms > FAST_RESTART_MS
        return bool(self._runner.born_ms) and is_late and not self.findings.is_proven

    def start(self) -> None:
        """Start the check of an end unless it has started."""
        if self._task is None:
            ended_s = None if self._protocol is None else self._protocol.ended_s
            self._ended_s = self._loop.time() if ended_s is None else ended_s
            self._task = self._loop.create_task(self._check_end(self._ended_s))

    def cancel(self) -> None:
        """End the check if it still runs."""
        if self._task is not None:
            self._task.cancel()

    async def finish(
        self,
        *,
        step: str,
        may_go_on: bool,
        is_draining: Callable[[str], bool],
        was_learnt: EndEvidence,
    ) -> None:
        """Raise ``AttemptError`` if an answer may have ended because its runner did.

        If another runner may go on, that costs one call, and slight doubts count: the
        caller has taken the answer late, other answers ended with it, or the runner
        drains. Else a check as early as for any other caller decides.
        """
        self.start()
        late_s = self._loop.time() - self._ended_s
        if self._protocol is not None:
            late_s += self._protocol.max_end_delay_s
        if self._task is not None:
            self.findings = await self._task
        findings = self.findings
        doubt = findings.doubt
        is_known = self._is_known_end(was_learnt)
        if doubt is None and is_known and not findings.is_proven:
            doubt = KNOWN
        if doubt is None and may_go_on:
            if late_s * MS_PER_S > MIN_RESTART_MS or self._may_be_back:
                doubt = LATE
            elif findings.slight_doubt is not None:
                doubt = findings.slight_doubt
            elif is_known or self._may_be_known_end(was_learnt):
                doubt = MAY_BE_KNOWN
            elif not findings.is_proven and is_draining(self._runner.runner_id):
                doubt = DRAINS
            self.is_slight_doubt = doubt is not None
        if doubt is None:
            return
        raise AttemptError(
            outcome=AttemptOutcome.LOST,
            step=step,
            peer=self._runner.runner_id,
            reason=doubt.reason,
            is_connection_lost=True,
            is_runner_fault=doubt.is_runner_fault,
        )

    def _is_known_end(self, was_learnt: EndEvidence) -> bool:
        """Return whether a lifetime was known by the check to have ended.

        A connection that stays open after the evidence leads to one that has not.
        """
        since_s = self._ended_s - CRASH_SPREAD_MS / MS_PER_S
        if self._protocol is not None:
            since_s -= self._protocol.max_end_delay_s
            since_s = max(since_s, self._protocol.connected_s)
        ended_ms = TimerService.from_loop_time_ms(self._ended_s)
        return was_learnt(
            self._runner.runner_id,
            since_ms=TimerService.from_loop_time_ms(since_s),
            until_ms=ended_ms + self.findings.age_ms,
        )

    def _may_be_known_end(self, was_learnt: EndEvidence) -> bool:
        """Return whether a lifetime was said to have ended since its connection began.

        The end may have come late, if it was lost on the way.
        """
        if self._protocol is None or self.findings.is_proven:
            return False
        since_s = max(self._protocol.connected_s, self._ended_s - MAX_NETWORK_DELAY_S)
        return was_learnt(
            self._runner.runner_id,
            since_ms=TimerService.from_loop_time_ms(since_s),
            until_ms=math.inf,
        )


class RunnerLiveness:
    """Tell whether a runner has ended with an answer that has no length.

    An answer with neither a length nor chunks ends with its connection. If its runner
    crashes and the connection is closed in order, half of the answer looks complete. A
    draining runner is no exception: it may crash as well.
    """

    def __init__(
        self,
        *,
        connections: RunnerConnections,
        is_listening: Callable[[Runner], Awaitable[bool]],
    ) -> None:
        """Create a check; ``is_listening`` opens a connection to the runner."""
        self._connections = connections
        self._is_listening = is_listening
        self._stalled_s = float("-inf")

    def record_stall(self) -> None:
        """Record that the event loop has stood still until now."""
        self._stalled_s = asyncio.get_running_loop().time()

    @contextmanager
    def watch(
        self, runner: Runner, head: ResponseHead, protocol: RunnerProtocol | None
    ) -> Iterator[EndCheck | None]:
        """Check an answer when its connection ends, also while its caller reads.

        Yields None for an answer that has another end than that of its connection.
        """
        if head.body_end is not BodyEnd.CONNECTION:
            yield None
            return
        check = EndCheck(runner, protocol, partial(self._check_end, runner, protocol))
        if protocol is None or protocol.ended_s is not None:
            check.start()
        else:
            protocol.on_ended = check.start
        try:
            yield check
        finally:
            if protocol is not None:
                protocol.on_ended = _ignore_end
            check.cancel()

    async def _check_end(
        self, runner: Runner, protocol: RunnerProtocol | None, ended_s: float
    ) -> EndFindings:
        """Return why a runner may have ended with its answer."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(PROBE_DELAY_MS / MS_PER_S)
        if protocol is not None and protocol.was_reset_at_end:
            return EndFindings(RESET)
        # An older connection that is still open proves nothing by itself, as its end
        # may have been lost on the way.
        is_listening = await self._is_listening(runner)
        age_ms = (loop.time() - ended_s) * MS_PER_S
        if not is_listening:
            return EndFindings(ENDED, age_ms=age_ms)
        address = Address.of(runner)
        if self._connections.has_open(address, before_s=ended_s):
            return EndFindings(is_proven=True, age_ms=age_ms)
        if self._connections.were_cut(address, ended_s=ended_s):
            return EndFindings(CUT, age_ms=age_ms)
        is_exact = protocol is not None and protocol.knows_end_arrival
        if age_ms > MIN_RESTART_MS or self._was_stalled(ended_s, is_exact=is_exact):
            # The process that listens now need not be the one that answered.
            return EndFindings(LATE, age_ms=age_ms)
        if self._connections.ended_together(address, ended_s=ended_s):
            return EndFindings(slight_doubt=ENDED_TOGETHER, age_ms=age_ms)
        return EndFindings(age_ms=age_ms)

    def _was_stalled(self, ended_s: float, *, is_exact: bool) -> bool:
        """Return whether the loop stood still when an end may have arrived.

        An end that is timed by its reading may have come before that, in a stall.
        """
        margin_ms = 0.0 if is_exact else MIN_RESTART_MS
        return self._stalled_s >= ended_s - margin_ms / MS_PER_S
