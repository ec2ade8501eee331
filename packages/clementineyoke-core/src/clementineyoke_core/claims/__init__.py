"""Run-once claims: which idempotency keys have been taken, and what came of them."""

from __future__ import annotations
