"""Randomized soak test: real node processes, injected faults, audited guarantees."""

from __future__ import annotations
