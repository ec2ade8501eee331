"""A randomized soak: real node processes, faults from outside, promises checked."""

from __future__ import annotations
