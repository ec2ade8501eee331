"""Run-once claims: idempotency keys in use and the results of their requests."""

from __future__ import annotations
