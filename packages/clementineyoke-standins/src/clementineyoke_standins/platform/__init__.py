"""Fake of the platform's object API and host list."""

from __future__ import annotations
