"""What crosses between processes: peer messages, HTTP bodies, events."""

from __future__ import annotations
