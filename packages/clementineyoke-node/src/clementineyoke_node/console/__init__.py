"""The node's command line; it only parses and prints."""

from __future__ import annotations
