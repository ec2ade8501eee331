"""Join the log lines of several nodes into the story of one request."""

from __future__ import annotations

import json
from datetime import datetime, timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

from clementineyoke_cli.admin_error import AdminError

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

AROUND = timedelta(seconds=3)
"""How far from the request's lines what happened to its runners still matters."""
RUNNER_SIGNALS = frozenset(("runner_draining", "runner_backoff"))
"""Signals of runners in answers to any request."""

Line = dict[str, Any]


def read_story(request_id: str, files: Sequence[str]) -> list[str]:
    """Return the request's lines and what its runners met meanwhile, in order.

    A request that was refused for its earlier copies is told with those: their lines
    bear the same mark, whatever their ids. So is one that passed over a runner for its
    signal in the answer to another request.

    Raises ``AdminError`` when a file cannot be read or no line names the request.
    """
    lines = [line for file in files for line in _read(file)]
    own = [line for line in lines if line.get("request_id") == request_id]
    if not own:
        raise AdminError(
            step="explain",
            peer=", ".join(files),
            reason=f"no line names {request_id}",
            details=[],
        )
    story = own + _around(own, lines) + _same(own, lines) + _signals(own, lines)
    return [_render(line) for line in sorted(story, key=lambda line: line["time"])]


def _read(file: str) -> Iterator[Line]:
    try:
        text = Path(file).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise AdminError(
            step="read", peer=file, reason=str(error), details=[]
        ) from error
    for row in text.splitlines():
        # A collector may put its own time and the host's name before each line.
        start = row.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(row[start:])
        except ValueError:
            continue  # torn at the end of a file that is still written
        if isinstance(line, dict) and "time" in line:
            yield line


def _around(own: list[Line], lines: list[Line]) -> list[Line]:
    runners = {line["runner"] for line in own if line.get("runner")}
    processes = {line.get("process") for line in own}
    first = _time_of(own[0]) - AROUND
    last = _time_of(own[-1]) + AROUND
    return [
        line
        for line in lines
        if "request_id" not in line
        and first <= _time_of(line) <= last
        and (line.get("runner") in runners or line.get("process") in processes)
    ]


def _same(own: list[Line], lines: list[Line]) -> list[Line]:
    """Return what was logged of other calls that asked for the same."""
    marks = {line["request_digest"] for line in own if line.get("request_digest")}
    return [
        line
        for line in lines
        if line.get("request_digest") in marks and line not in own
    ]


def _signals(own: list[Line], lines: list[Line]) -> list[Line]:
    """Return the signals that the request's runners had sent in other answers."""
    runners = {line["runner"] for line in own if line.get("runner")}
    for line in own:
        runners.update(line.get("passed_over") or ())
    last = _time_of(own[-1])
    return [
        line
        for line in lines
        if line["message"] in RUNNER_SIGNALS
        and line.get("runner") in runners
        and line not in own
        and _time_of(line) <= last
    ]


def _time_of(line: Line) -> datetime:
    return datetime.fromisoformat(line["time"])


def _render(line: Line) -> str:
    hidden = ("time", "level", "message", "event", "process", "traceback")
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in hidden and value not in (None, "")
    )
    clock = _time_of(line).strftime("%H:%M:%S.%f")[:-3]
    return f"{clock} {line.get('process', '?')} {line['message']} {fields}"
