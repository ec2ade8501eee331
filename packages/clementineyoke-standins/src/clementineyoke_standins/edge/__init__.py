"""Fake store and runners of the users' platform, with injectable faults."""

from __future__ import annotations
