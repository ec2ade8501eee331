"""Exchanges with runners."""

from __future__ import annotations
