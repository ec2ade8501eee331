"""The node on the users' platform: tasks, sockets and timers around the core."""

from __future__ import annotations
