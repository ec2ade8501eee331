"""Timeline of a request from the logs of several nodes."""

from __future__ import annotations

import json
from datetime import datetime, timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

from clementineyoke_cli.admin_error import AdminError

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

CONTEXT_WINDOW = timedelta(seconds=3)
"""Events of runners and nodes are included up to this time before and after the lines
of the request."""
RUNNER_SIGNALS = frozenset(("runner_draining", "runner_backoff"))
"""Events for signals that runners send in responses to any request."""
POOL_STATES = {
    "pool_unreachable": "reach",
    "pool_reachable": "reach",
    "pool_brittle": "rejections",
    "pool_robust": "rejections",
    "pool_versions": "versions",
}
"""Events for what a node knows of a whole pool until a later event of the same kind."""

FACTOR_FIELDS = ("request_digest", "part_digest")
"""Fields that name what crashed runners may have had in common."""

LogLine = dict[str, Any]


def read_request_timeline(request_id: str, files: Sequence[str]) -> list[str]:
    """Return the log lines that explain a request, rendered and sorted by time.

    Besides the lines of the request these are events of its runners and nodes at that
    time, lines of requests with the same digest or with the part of prompts for which
    it was refused, since it may be refused for crashes under other requests, lines of
    the request whose stream it resumes, signals for which it passed over runners, since
    these may come with responses to other requests, and the state of its pool at its
    nodes, however long ago that began.

    Raises ``AdminError`` if a file cannot be read or no line contains the request.
    """
    lines = [line for file in files for line in _read_lines(file)]
    request_lines = [line for line in lines if line.get("request_id") == request_id]
    if not request_lines:
        raise AdminError(
            step="explain",
            peer=", ".join(files),
            reason=f"no log line of request {request_id} found",
            details=[],
        )
    timeline = (
        request_lines
        + _context_lines(request_lines, lines)
        + _copy_lines(request_lines, lines)
        + _resumed_lines(request_lines, lines)
        + _signal_lines(request_lines, lines)
    )
    timeline += [
        line for line in _pool_lines(request_lines, lines) if line not in timeline
    ]
    return [_render(line) for line in sorted(timeline, key=lambda line: line["time"])]


def _read_lines(file: str) -> Iterator[LogLine]:
    try:
        text = Path(file).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise AdminError(
            step="read", peer=file, reason=str(error), details=[]
        ) from error
    for text_line in text.splitlines():
        # Log collectors may prefix each line with a time and the name of the host.
        start = text_line.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text_line[start:])
        except ValueError:
            continue  # incomplete last line of a file that is still being written
        if isinstance(line, dict) and "time" in line:
            yield line


def _context_lines(request_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    runners = {line["runner"] for line in request_lines if line.get("runner")}
    processes = {line.get("process") for line in request_lines}
    first = _time_of(request_lines[0]) - CONTEXT_WINDOW
    last = _time_of(request_lines[-1]) + CONTEXT_WINDOW
    return [
        line
        for line in lines
        if "request_id" not in line
        and first <= _time_of(line) <= last
        and (line.get("runner") in runners or line.get("process") in processes)
    ]


def _copy_lines(request_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return the lines of other requests with the same digest or crashing part."""
    factors = {
        (field, line[field])
        for line in request_lines
        for field in FACTOR_FIELDS
        if line.get(field)
    }
    parts = {line["part"] for line in request_lines if line.get("part")}
    return [
        line
        for line in lines
        if line not in request_lines
        and (
            any((field, line.get(field)) in factors for field in FACTOR_FIELDS)
            or parts.intersection(line.get("prompt_parts") or ())
        )
    ]


def _signal_lines(request_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return earlier signals of runners that the request used or passed over."""
    runners = {line["runner"] for line in request_lines if line.get("runner")}
    for line in request_lines:
        runners.update(line.get("passed_over") or ())
    last = _time_of(request_lines[-1])
    return [
        line
        for line in lines
        if line["message"] in RUNNER_SIGNALS
        and line.get("runner") in runners
        and line not in request_lines
        and _time_of(line) <= last
    ]


def _resumed_lines(request_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return the lines of the request that began the stream."""
    began_as = {line["resumes"] for line in request_lines if line.get("resumes")}
    return [
        line
        for line in lines
        if line.get("request_id") in began_as and line not in request_lines
    ]


def _pool_lines(request_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return the latest state of the request's pools at each of its nodes."""
    pools = {line["pool"] for line in request_lines if line.get("pool")}
    processes = {line.get("process") for line in request_lines}
    first = _time_of(request_lines[0])
    latest: dict[tuple[str, str, str], LogLine] = {}
    for line in lines:
        if line["message"] not in POOL_STATES or _time_of(line) > first:
            continue
        process, pool = line.get("process"), line.get("pool")
        if pool in pools and process in processes:
            key = (str(process), str(pool), POOL_STATES[line["message"]])
            if key not in latest or _time_of(latest[key]) < _time_of(line):
                latest[key] = line
    return list(latest.values())


def _time_of(line: LogLine) -> datetime:
    return datetime.fromisoformat(line["time"])


def _render(line: LogLine) -> str:
    omitted = ("time", "level", "message", "event", "process", "traceback")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in omitted and value not in (None, "")
    )
    timestamp = _time_of(line).strftime("%H:%M:%S.%f")[:-3]
    return f"{timestamp} {line.get('process', '?')} {line['message']} {fields}"
