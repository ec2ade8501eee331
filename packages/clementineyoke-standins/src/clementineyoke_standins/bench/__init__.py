"""The bench: decision code on seeded workloads in virtual time."""

from __future__ import annotations
