"""Conclusion from what several nodes know of a stream that a caller resumes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.edge.streams.stream_records import StreamRecord


OWN = ""
"""Stands for the node that asks, in place of a peer's id."""


class LookupResult(Enum):
    """Whether the version of a stream is known, and how."""

    RECORDED = "recorded"
    """A node has the stream's record."""
    ONLY_VERSION = "only_version"
    """No node has one, but all runners had the same version while streams last."""
    AMBIGUOUS = "ambiguous"
    """The id stands for streams of several versions or pools."""
    UNKNOWN = "unknown"


class LookupAnswer(NamedTuple):
    """What one node knows of a stream and of the versions of its pool.

    The versions are known without a gap from one revision of the store to another, or
    up to the time of the lookup if the store has confirmed them since it began.
    """

    record: StreamRecord | None
    versions: tuple[str, ...]
    """Versions that the pool's runners had while streams last."""
    observed_ms: float
    """For how much of that time the node knows them."""
    from_revision: int = 0
    revision: int = 0
    is_confirmed: bool = False


class StreamLookup:
    """Combine the answers of nodes until the version of a stream is known.

    A stream without a record may only go on where no other version can have begun it:
    what the nodes know together must cover the time from the earliest at which the
    stream can have begun until the lookup. How many nodes agree does not matter: they
    may all have missed the same version.
    """

    def __init__(self, *, own: LookupAnswer, asked: int, max_age_ms: float) -> None:
        """Create a lookup.

        ``asked`` is the number of peers that are asked, ``max_age_ms`` the time within
        which the stream must have begun.
        """
        self._answers = {OWN: own}
        self.asked = asked
        """The number of peers that are asked."""
        self._max_age_ms = max_age_ms

    @property
    def record(self) -> StreamRecord | None:
        """The stream's record, if a node has one."""
        return self._records[0] if self._records else None

    @property
    def _records(self) -> list[StreamRecord]:
        return [a.record for a in self._answers.values() if a.record is not None]

    @property
    def _is_ambiguous(self) -> bool:
        named = {(record.pool, record.version) for record in self._records}
        return len(named) > 1 or any(record.is_ambiguous for record in self._records)

    @property
    def answer_count(self) -> int:
        """The number of peers that have answered."""
        return len(self._answers) - 1

    def add(self, node_id: str, answer: LookupAnswer) -> None:
        """Add the answer of a node, in place of its former one."""
        former = self._answers.get(node_id)
        if former is not None and former.is_confirmed:
            return
        self._answers[node_id] = answer

    @property
    def _versions(self) -> set[str]:
        return {version for a in self._answers.values() for version in a.versions}

    @property
    def _is_confirmed(self) -> bool:
        return any(answer.is_confirmed for answer in self._answers.values())

    @property
    def only_version(self) -> str | None:
        """The only version that can have begun the stream; None if there are others."""
        versions = self._versions
        if len(versions) != 1 or not self._is_covered():
            return None
        return versions.pop()

    @property
    def needs_confirmation(self) -> bool:
        """Whether the answers name one version that the store has to confirm."""
        is_open = self.record is None and not self._is_confirmed
        return is_open and len(self._versions) == 1

    @property
    def is_settled(self) -> bool:
        """Whether the remaining peers need not be waited for."""
        if self.record is not None:
            # A node that has a record may have missed that of another stream.
            return self._is_ambiguous
        # Peers that have ended do not answer, and callers resume their streams. If the
        # others know the versions for too short a time, the store tells former ones.
        is_only = self._is_confirmed and len(self._versions) == 1
        return is_only and self._has_majority()

    def conclude(self) -> LookupResult:
        """Return what follows from the answers so far."""
        if self._is_ambiguous:
            return LookupResult.AMBIGUOUS
        if self.record is not None:
            return LookupResult.RECORDED
        if self.only_version is not None:
            return LookupResult.ONLY_VERSION
        return LookupResult.UNKNOWN

    def _is_covered(self) -> bool:
        """Return whether an unknown version would have shown in the answers."""
        return any(
            answer.is_confirmed and self._knows_time_before(answer)
            for answer in self._answers.values()
        )

    def _knows_time_before(self, later: LookupAnswer) -> bool:
        """Return whether answers reach back from ``later`` to the earliest time."""
        return any(
            answer.observed_ms >= self._max_age_ms
            and (answer is later or answer.revision >= later.from_revision)
            for answer in self._answers.values()
        )

    @property
    def knows_whole_time(self) -> bool:
        """Whether all versions since the earliest time are known, up to this node's."""
        return self._knows_time_before(self._answers[OWN])

    def _has_majority(self) -> bool:
        """Return whether over half of the nodes know versions, this one included.

        One that has just started and knows of none does not count.
        """
        informed = sum(bool(answer.versions) for answer in self._answers.values())
        return 2 * informed > self.asked + 1
