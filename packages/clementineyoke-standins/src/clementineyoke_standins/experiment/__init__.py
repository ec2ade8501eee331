"""Compare arms of the code on the same days and seeds, with intervals."""

from __future__ import annotations
