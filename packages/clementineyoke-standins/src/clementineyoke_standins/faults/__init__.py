"""Nine nodes, faults two at a time, then an audit."""

from __future__ import annotations
