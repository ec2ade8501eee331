"""Team limits over all nodes."""

from __future__ import annotations
