"""The settings tree in force on this node."""

from __future__ import annotations
