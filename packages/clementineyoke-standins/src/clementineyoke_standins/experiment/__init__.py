"""Paired experiments: versions of the code on the same days and seeds."""

from __future__ import annotations
