"""What a runner process is told: options at its start, signals later."""

from __future__ import annotations

import signal
from typing import TypedDict

RESET_CONNECTIONS = signal.SIGUSR1
"""Has a runner process reset its connections from some of the nodes."""
SPOIL_ANSWERS = signal.SIGUSR2
"""Has a runner process spoil some of its next answers."""


class RunnerOptions(TypedDict):
    """What a runner process is started with, as JSON in its argument."""

    runner_id: str
    version: str
    port: int
    event_pause_s: float
    frames_streams: bool
