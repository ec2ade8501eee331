"""Policies for choosing a runner, one class each."""

from __future__ import annotations
