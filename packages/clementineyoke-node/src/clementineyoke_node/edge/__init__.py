"""The node on the users' platform: tasks, sockets and timers round the decisions."""

from __future__ import annotations
