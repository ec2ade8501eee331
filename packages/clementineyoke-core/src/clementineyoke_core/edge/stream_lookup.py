"""Conclusion from what several nodes know of a stream that a caller resumes."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from clementineyoke_core.edge.stream_records import StreamRecord


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
    """What one node knows of a stream and of the versions of its pool."""

    record: StreamRecord | None
    versions: tuple[str, ...]
    """Versions that the pool's runners had while streams last."""
    observed_ms: float
    """For how much of that time the node knows them."""


class StreamLookup:
    """Combine the answers of nodes until the version of a stream is known.

    A stream without a record may only go on where no other version can have begun it:
    a node must know the versions for as long as the stream can have lasted.
    A node that is cut off from its peers and from the store may have missed a version,
    so that its own word does not suffice for that.
    """

    def __init__(
        self,
        *,
        own: LookupAnswer,
        asked: int,
        is_view_current: bool,
        max_age_ms: float,
    ) -> None:
        """Create a lookup.

        ``asked`` is the number of peers that are asked, ``is_view_current`` whether the
        store has confirmed this node's list of runners lately. ``max_age_ms`` is the
        time within which the stream must have begun.
        """
        self._answers = [own]
        self.asked = asked
        """The number of peers that are asked."""
        self._is_view_current = is_view_current
        self._max_age_ms = max_age_ms

    @property
    def record(self) -> StreamRecord | None:
        """The stream's record, if a node has one."""
        return self._records[0] if self._records else None

    @property
    def _records(self) -> list[StreamRecord]:
        return [a.record for a in self._answers if a.record is not None]

    @property
    def _is_ambiguous(self) -> bool:
        named = {(record.pool, record.version) for record in self._records}
        return len(named) > 1 or any(record.is_ambiguous for record in self._records)

    @property
    def answer_count(self) -> int:
        """The number of peers that have answered."""
        return len(self._answers) - 1

    def add(self, answer: LookupAnswer) -> None:
        """Add the answer of a peer."""
        self._answers.append(answer)

    @property
    def only_version(self) -> str | None:
        """The only version that can have begun the stream; None if there are others."""
        versions = {version for a in self._answers for version in a.versions}
        if len(versions) != 1 or not self._may_exclude_others():
            return None
        return versions.pop()

    @property
    def is_settled(self) -> bool:
        """Whether the remaining peers need not be waited for."""
        if self.record is not None:
            # A node that has a record may have missed that of another stream.
            return self._is_ambiguous
        # Peers that have ended do not answer, and callers resume their streams.
        return (
            self._is_view_current
            and self._has_majority()
            and self.knows_whole_time
            and self.only_version is not None
        )

    def conclude(self) -> LookupResult:
        """Return what follows from the answers so far."""
        if self._is_ambiguous:
            return LookupResult.AMBIGUOUS
        if self.record is not None:
            return LookupResult.RECORDED
        if self.only_version is not None:
            return LookupResult.ONLY_VERSION
        return LookupResult.UNKNOWN

    def _may_exclude_others(self) -> bool:
        """Return whether an unknown version would have shown in the answers."""
        if not (self._has_majority() or self._is_view_current):
            return False
        return self.knows_whole_time

    def _has_majority(self) -> bool:
        """Return whether over half of the nodes know versions, this one included."""
        return 2 * self._informed_count() > self.asked + 1

    def _informed_count(self) -> int:
        """Return how many nodes know of any runner of the pool.

        One that has just started and knows of none does not exclude any version.
        """
        return sum(bool(answer.versions) for answer in self._answers)

    @property
    def knows_whole_time(self) -> bool:
        """Whether a node knows the versions for as long as the stream has lasted."""
        return any(a.observed_ms >= self._max_age_ms for a in self._answers)
