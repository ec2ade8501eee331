"""Bounds on the bytes that a node takes from runners, peers and the store."""

from __future__ import annotations
