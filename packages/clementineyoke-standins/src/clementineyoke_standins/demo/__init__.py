"""The demo: an evening of one deployment on loopback."""

from __future__ import annotations
