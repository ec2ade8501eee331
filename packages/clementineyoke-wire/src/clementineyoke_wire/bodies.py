"""Bodies of the HTTP calls that are answered in JSON."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict


class ErrorBody(TypedDict):
    """What a caller gets instead of a runner's answer."""

    outcome: str
    step: str
    peer: str
    request_id: str
    reason: str
    retry_after_ms: NotRequired[int]


class AddressBody(TypedDict):
    """One node that a caller may use."""

    node_id: str
    address: str
    port: int
    availability_zone: str


class AddressesBody(TypedDict):
    """The ordered list of nodes and how long to keep it."""

    addresses: list[AddressBody]
    keep_ms: int


class HostBody(TypedDict):
    """A host of the platform's host list, as its HTTP interface gives it."""

    host: str
    role: str
    """``entry``, ``engine`` or ``service``."""
    address: str
    port: int
    peer_port: int
    availability_zone: str
    region: str
    state: str
    """``live`` or ``leaving``."""
    pool: str
    slots: int


class SettingsChangeBody(TypedDict):
    """An operator's wish to change settings."""

    author: str
    note: str
    based_on: int
    """The version that the operator looked at."""
    dry_run: bool
    edits: dict[str, dict[str, Any] | None]
