"""HTTP connections to runners."""

from __future__ import annotations
