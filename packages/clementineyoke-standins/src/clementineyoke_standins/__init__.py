"""Fakes of external systems and verification tools; not shipped with the product."""

from __future__ import annotations
