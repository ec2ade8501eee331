"""The router node: tasks that own sockets, timers and state round the core."""

from __future__ import annotations
