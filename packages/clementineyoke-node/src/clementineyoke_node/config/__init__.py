"""What a node reads from its settings file at start."""

from __future__ import annotations
