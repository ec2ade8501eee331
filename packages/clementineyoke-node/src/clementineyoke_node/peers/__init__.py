"""UDP messages between nodes."""

from __future__ import annotations
