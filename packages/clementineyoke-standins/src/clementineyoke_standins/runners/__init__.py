"""Fakes of a model engine and a plain service."""

from __future__ import annotations
