"""Slots on runners: asking for them and granting them."""

from __future__ import annotations
