"""Finds calls in a node's log that ended with an exception that nobody expected."""

from __future__ import annotations

FAILED_CALL = b'"call_failed"'
"""Part of the log line of such a call."""


def find_failed_calls(node: str, log: bytes) -> list[str]:
    """Return the log lines of these calls, each with the node's name."""
    return [
        f"{node}: {line.decode(errors='replace')}"
        for line in log.splitlines()
        if FAILED_CALL in line
    ]
