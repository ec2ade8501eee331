"""The timer service."""

from __future__ import annotations
