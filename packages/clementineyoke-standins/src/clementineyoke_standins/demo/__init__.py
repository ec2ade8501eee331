"""Demo of one deployment on loopback, with traffic, faults and a result table."""

from __future__ import annotations
