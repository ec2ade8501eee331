"""The platform's object API and host list."""

from __future__ import annotations
