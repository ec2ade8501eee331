"""The node's command line; it only parses arguments and prints errors."""

from __future__ import annotations
