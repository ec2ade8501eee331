"""Membership, host list and gossip."""

from __future__ import annotations
