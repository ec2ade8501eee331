"""Kinds of calls, which determine how a call may be retried."""

from __future__ import annotations

from enum import Enum


class CallKind(Enum):
    """Kind of a route's calls, as configured by the operator."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
