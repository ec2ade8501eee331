"""Periodic work and background tasks."""

from __future__ import annotations
