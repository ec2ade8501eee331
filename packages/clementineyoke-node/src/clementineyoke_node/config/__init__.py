"""A node's settings file."""

from __future__ import annotations
