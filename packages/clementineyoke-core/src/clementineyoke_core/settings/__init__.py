"""The tree of settings: fields, validation, inheritance and its log of changes."""

from __future__ import annotations
