"""Structured logs: one compact JSON object a line."""

from __future__ import annotations

import sys
import traceback
from typing import TYPE_CHECKING, Any, TextIO

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message


def log_as_json(level: str, *, stream: TextIO = sys.stderr) -> None:
    """Send all logs of this process to a stream.

    Tracebacks carry no values of variables: loguru's own rendering would print keys
    and prompts into the log.
    """
    logger.remove()

    def write(message: Message) -> None:
        stream.write(_render(message.record) + "\n")

    logger.add(write, level=level, format="", backtrace=False, diagnose=False)


def _render(record: Any) -> str:
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    exception = record["exception"]
    if exception is not None:
        line["traceback"] = "".join(traceback.format_exception(exception.value))
    return msgspec.json.encode(line, enc_hook=str).decode()
