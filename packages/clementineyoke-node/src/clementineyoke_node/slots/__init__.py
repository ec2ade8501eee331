"""Slots on runners: acquiring them and granting them."""

from __future__ import annotations
