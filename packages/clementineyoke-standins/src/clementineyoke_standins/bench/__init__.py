"""Benchmark of the routing decisions, mostly on seeded workloads in virtual time."""

from __future__ import annotations
