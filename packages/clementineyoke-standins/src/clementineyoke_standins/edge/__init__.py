"""Stand-ins of the users' platform: its store and its runners, with their faults."""

from __future__ import annotations
