"""Stand-ins for the outside systems, and tools that prove the product; not shipped."""

from __future__ import annotations
