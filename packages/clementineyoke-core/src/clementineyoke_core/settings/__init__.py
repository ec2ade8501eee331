"""Settings tree: fields, validation, inheritance and the log of changes."""

from __future__ import annotations
