"""Decides which requests are refused because of what crashed runners had in common."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.crash_factors import is_part
from clementineyoke_core.edge.crash_records import (
    CRASHES_TO_SUSPECT,
    CrashRecord,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from clementineyoke_core.edge.crash_factors import CrashFactors
    from clementineyoke_core.edge.crash_records import CrashRecords

CRASHES_TO_REFUSE = 3
"""Crashes after which a factor is refused if nothing else explains them. With 2, a call
that loses two runners in a row to other causes would be refused."""
CRASHES_TO_REFUSE_CONTESTED = 4
"""Crashes after which a factor is refused although another call's suspected factor was
on the same runners. One of the two is harmless, and is usually answered before the
other reaches this number."""
CRASHES_TO_REFUSE_ANSWERED = 6
"""Crashes after which a factor is refused although it was answered before them. While
most runners of a pool are down, a popular part may not be answered for seconds."""
REFUSAL_MS = 300_000.0
"""How long a factor is refused after its latest crash. Then one more request is let
through: the runners may have been fixed, or the factor was not the cause."""
VERDICT_DELAY_MS = 100.0
"""Time from a factor's third crash to its first refusal, in which the records of other
factors of the same calls arrive from their own home nodes."""
MIN_SPAN_MS = 1_000.0
"""Time from the first of its crashes to the first refusal of a factor that was answered
before: a popular part is on every runner, and is usually answered again by then."""


class Proof(NamedTuple):
    """Numbers of crashes that it takes to hold a factor responsible."""

    unexplained: int
    """Crashes of the factor that nothing else explains."""
    by_part: int
    """Crashes from which on a part explains those of other factors of its calls."""
    by_request: int
    """The same for a request, to which the node's own second attempt adds a crash."""


TO_SUSPECT = Proof(CRASHES_TO_SUSPECT, CRASHES_TO_SUSPECT, CRASHES_TO_SUSPECT)
TO_REFUSE = Proof(CRASHES_TO_REFUSE, CRASHES_TO_SUSPECT, CRASHES_TO_REFUSE)


class Verdict(NamedTuple):
    """The factor for which a call is refused."""

    digest: bytes
    record: CrashRecord
    left_ms: float
    """Remaining time of the refusal; 0 if one request may be tried."""


class CrashJudge:
    """Find the cause of crashes among the factors of the calls on the runners.

    A crash is not held against a factor if another one explains it better. A call is
    compared only with factors that it lacks: if a crashing part and the parts before it
    have the same crashes, calls with all of them are refused, and calls that lack the
    crashing part are not.
    """

    def __init__(self, *, records: CrashRecords) -> None:
        self._records = records

    def likely_causes(self, factors: CrashFactors) -> list[bytes]:
        """Return the suspected factors of a call that nothing else explains."""
        return [
            digest
            for digest in self._suspects(factors)
            if self._is_cause(digest, factors.digests, TO_SUSPECT)
        ]

    def verdict(self, factors: CrashFactors, *, now_ms: float) -> Verdict | None:
        """Return for which factor a call is refused, or None if it is not."""
        verdicts = []
        for digest in self._suspects(factors):
            record = self._records.get(digest)
            if _is_known(record, now_ms) and self._is_cause(
                digest, factors.digests, TO_REFUSE
            ):
                left_ms = max(0.0, record.last_ms + REFUSAL_MS - now_ms)
                verdicts.append(Verdict(digest, record, left_ms))
        return max(verdicts, key=lambda verdict: verdict.left_ms, default=None)

    def is_refused(self, digest: bytes, *, now_ms: float) -> bool:
        """Return whether calls with a factor and all its companions are refused."""
        record = self._records.get(digest)
        if not _is_known(record, now_ms):
            return False
        held = {digest}.union(*(crash.companions for crash in record.history))
        return record.last_ms + REFUSAL_MS > now_ms and self._is_cause(
            digest, held, TO_REFUSE
        )

    def _suspects(self, factors: CrashFactors) -> list[bytes]:
        """Return the factors of a call under which several runners have crashed."""
        return [
            digest
            for digest in factors.digests
            for record in (self._records.get(digest),)
            if record.crashes >= CRASHES_TO_SUSPECT and record.concerns(factors.team)
        ]

    def _is_cause(self, digest: bytes, held: Collection[bytes], proof: Proof) -> bool:
        """Return whether a factor is the likely cause, rather than one next to it.

        ``held`` are the factors of the call in question: they explain nothing.
        """
        record = self._records.get(digest)
        weight = _weight(record)
        is_contested = False
        unexplained = 0
        narrower: Counter[bytes] = Counter()
        for runner, _, companions in record.history:
            other_weight = self._max_weight_of_others(runner, {*held, *companions})
            is_contested |= other_weight >= max(CRASHES_TO_SUSPECT, weight - 1)
            explaining = [
                other
                for other in companions
                if other not in held and self._explains(other, proof)
            ]
            if other_weight > weight or not all(map(is_part, explaining)):
                continue
            unexplained += 1
            narrower.update(explaining)
        # Two parts each of which explains some of the crashes are less likely than one
        # that is common to all of them.
        unexplained -= max(narrower.values(), default=0)
        needed = proof.unexplained
        if proof is TO_REFUSE and is_contested:
            needed = CRASHES_TO_REFUSE_CONTESTED
        if proof is TO_REFUSE and record.was_answered:
            needed = CRASHES_TO_REFUSE_ANSWERED
        return unexplained >= needed

    def _explains(self, digest: bytes, proof: Proof) -> bool:
        """Return whether a factor explains crashes of other factors of its calls."""
        needed = proof.by_part if is_part(digest) else proof.by_request
        return _weight(self._records.get(digest)) >= needed

    def _max_weight_of_others(self, runner: str, without: Collection[bytes]) -> int:
        return max(
            (
                _weight(self._records.get(other))
                for other in self._records.factors_on(runner)
                if other not in without
            ),
            default=0,
        )


def _weight(record: CrashRecord) -> int:
    """Return a factor's crashes in excess of what a harmless one may have."""
    if record.was_answered:
        return record.crashes - (CRASHES_TO_REFUSE_ANSWERED - CRASHES_TO_REFUSE)
    return record.crashes


def _is_known(record: CrashRecord, now_ms: float) -> bool:
    """Return whether a factor has had enough crashes, and for long enough."""
    if record.crashes < CRASHES_TO_REFUSE:
        return False
    known_ms = 0.0
    if record.crashes == CRASHES_TO_REFUSE:
        known_ms = record.last_ms + VERDICT_DELAY_MS
    if record.was_answered:
        known_ms = max(known_ms, record.history[0].crashed_ms + MIN_SPAN_MS)
    return now_ms >= known_ms
