"""Check that streams went on only at the software version that began them."""

from __future__ import annotations

import re
from collections import defaultdict
from typing import TYPE_CHECKING

from clementineyoke_standins.edge.edge_runner import EVENTS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from clementineyoke_standins.soak.audit import Span
    from clementineyoke_standins.soak.caller import CallRecord
    from clementineyoke_standins.soak.stream_reader import StreamTry

VERSION_LINE = re.compile(r": version (\S+)\n")
MIN_RESUMPTIONS = 12
MIN_RESUMED_SHARE = 0.5
"""Least share of resumptions that go on, as a multiple of that of new streams."""


def without_versions(body: str) -> str:
    """Return the body of a stream without the versions that its events tell."""
    return VERSION_LINE.sub("", body)


def check_versions(
    calls: Iterable[CallRecord], tries: Iterable[StreamTry]
) -> Iterable[str]:
    """Find streams with events of several versions, in one answer or over tries."""
    for call in calls:
        versions = set(VERSION_LINE.findall(call.body))
        if len(versions) > 1:
            yield f"{call.call_id}: one answer has events of {sorted(versions)}"
    by_stream: dict[str, list[StreamTry]] = defaultdict(list)
    for attempt in tries:
        by_stream[attempt.stream].append(attempt)
    for stream, attempts in by_stream.items():
        events = [event for attempt in attempts for event in attempt.events]
        if len({event.version for event in events}) > 1:
            story = [f"{a.call_id}@node-{a.node}: {a.events}" for a in attempts]
            yield f"{stream}: events of several versions: {'; '.join(story)}"
        numbers = [event.number for event in events]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{stream}: events are missing or come twice: {numbers}"
        if any(attempt.is_torn for attempt in attempts):
            yield f"{stream}: other bytes came between the events {numbers}"
        if attempts[-1].is_whole and numbers[-1:] != [EVENTS]:
            yield f"{stream}: ended as complete after the events {numbers}"


def check_resumptions(
    tries: Iterable[StreamTry], undisturbed: Sequence[Span]
) -> Iterable[str]:
    """Find seeds in which resumptions fail far more often than new streams."""
    results: dict[bool, list[bool]] = {True: [], False: []}
    for attempt in tries:
        if any(
            span.start_s <= attempt.sent_s and attempt.ended_s <= span.end_s
            for span in undisturbed
        ):
            results[attempt.is_resumption].append(bool(attempt.events))
    new, resumed = results[False], results[True]
    if len(resumed) < MIN_RESUMPTIONS or not new:
        return
    share, new_share = sum(resumed) / len(resumed), sum(new) / len(new)
    if share < MIN_RESUMED_SHARE * new_share:
        yield (
            f"{sum(resumed)} of {len(resumed)} resumptions went on, where"
            f" {sum(new)} of {len(new)} new streams began"
        )
