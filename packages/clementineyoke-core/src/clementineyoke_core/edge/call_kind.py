"""What may be done again with a call."""

from __future__ import annotations

from enum import Enum


class CallKind(Enum):
    """The operator's word on what a route's calls are."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
