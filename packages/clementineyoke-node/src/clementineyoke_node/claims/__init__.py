"""Run-once claims: the holder's and the home's side."""

from __future__ import annotations
