"""Fault injection: pairs of faults on a fleet of nine nodes, followed by an audit."""

from __future__ import annotations
