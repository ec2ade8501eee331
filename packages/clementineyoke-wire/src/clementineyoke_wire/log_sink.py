"""Structured logging: one compact JSON object per line."""

from __future__ import annotations

import sys
import traceback
from typing import TYPE_CHECKING, Any, Protocol, TextIO

import msgspec
from loguru import logger

from clementineyoke_wire.bounded_stream import BoundedStream

if TYPE_CHECKING:
    from loguru import Message

MIN_IMPORTANT_LEVEL_NO = 30
"""Severity of a warning, in loguru's scale."""


class LineWriter(Protocol):
    """Writes log lines."""

    def __call__(self, line: str, *, is_important: bool) -> None:
        """Write a line; one that is not important may be dropped."""


def configure_stdout_logging(level: str, *, node: str) -> None:
    """Send all logs of this process to standard output, with the name of the node.

    Lines that cannot be written without blocking are dropped and counted; warnings and
    errors are written later.
    """
    bounded = BoundedStream(descriptor=sys.stdout.fileno())
    _configure(level, bounded.write_line, process=node)


def configure_stream_logging(level: str, *, stream: TextIO = sys.stderr) -> None:
    """Send all logs of this process to a stream.

    Tracebacks contain no values of variables: loguru's diagnostic format would write
    keys and prompts into the log.
    """

    def write_line(line: str, *, is_important: bool) -> None:
        print(line, file=stream)

    _configure(level, write_line)


def _configure(level: str, write_line: LineWriter, **extra: str) -> None:
    logger.remove()

    def write(message: Message) -> None:
        is_important = message.record["level"].no >= MIN_IMPORTANT_LEVEL_NO
        write_line(_render(message.record, extra), is_important=is_important)

    logger.add(write, level=level, format="", backtrace=False, diagnose=False)


def _render(record: Any, extra: dict[str, str]) -> str:
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **extra,
        **record["extra"],
    }
    exception = record["exception"]
    if exception is not None:
        line["traceback"] = "".join(traceback.format_exception(exception.value))
    return msgspec.json.encode(line, enc_hook=str).decode()
