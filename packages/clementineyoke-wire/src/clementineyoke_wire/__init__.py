"""Formats shared between processes: peer messages, HTTP bodies and log events."""

from __future__ import annotations
