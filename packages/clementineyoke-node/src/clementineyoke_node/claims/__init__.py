"""Claims that make a keyed request run at most once: client and home side."""

from __future__ import annotations
