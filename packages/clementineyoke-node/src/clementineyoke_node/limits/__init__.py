"""Fleet-wide team limits."""

from __future__ import annotations
