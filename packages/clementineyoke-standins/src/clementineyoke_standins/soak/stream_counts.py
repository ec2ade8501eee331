"""Counts of the streams that callers began and resumed."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from clementineyoke_standins.soak.runner_process import RunnerLifetime
    from clementineyoke_standins.soak.stream_reader import StreamTry


class StreamCounts(NamedTuple):
    """Requests that a node answered."""

    new: int = 0
    begun: int = 0
    """New streams that brought an event."""
    resumable: int = 0
    """Resumptions of streams whose version had ready runners all the time."""
    resumed: int = 0
    """Those of them that brought an event."""


def count_streams(
    tries: Iterable[StreamTry],
    *,
    lifetimes: Sequence[RunnerLifetime],
    left_s: Mapping[str, float],
) -> StreamCounts:
    """Count requests; ``left_s`` tells when runners were announced to leave."""
    versions: dict[str, str] = {}
    new: list[bool] = []
    resumed: list[bool] = []
    for attempt in tries:
        version = versions.get(attempt.stream)
        if attempt.events:
            versions.setdefault(attempt.stream, attempt.events[0].version)
        if attempt.status is None:
            continue
        if not attempt.is_resumption:
            new.append(bool(attempt.events))
        elif any(
            lifetime.version == version
            and lifetime.start_s < attempt.sent_s
            and attempt.ended_s < lifetime.end_s
            and attempt.ended_s < left_s.get(lifetime.runner_id, lifetime.end_s)
            for lifetime in lifetimes
        ):
            resumed.append(bool(attempt.events))
    return StreamCounts(len(new), sum(new), len(resumed), sum(resumed))
