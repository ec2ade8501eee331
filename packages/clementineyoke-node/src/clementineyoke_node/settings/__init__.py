"""Replication and changes of the settings tree."""

from __future__ import annotations
