"""The router node: tasks, sockets, timers and state around the core."""

from __future__ import annotations
