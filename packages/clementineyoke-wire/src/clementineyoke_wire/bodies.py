"""JSON bodies of HTTP requests and responses."""

from __future__ import annotations

from typing import Any, NotRequired, TypedDict


class ErrorBody(TypedDict):
    """Error that a caller receives in place of a runner's response."""

    outcome: str
    step: str
    peer: str
    request_id: str
    reason: str
    retry_after_ms: NotRequired[int]


class AddressBody(TypedDict):
    """Address of a node that accepts requests from callers."""

    node_id: str
    address: str
    port: int
    availability_zone: str


class AddressesBody(TypedDict):
    """Node addresses in order of preference, and how long callers may cache them."""

    addresses: list[AddressBody]
    keep_ms: int


class HostBody(TypedDict):
    """Entry of the platform's host list, as returned by its HTTP API."""

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
    """Change of settings requested by an operator."""

    author: str
    note: str
    based_on: int
    """Settings version that the edits were based on."""
    dry_run: bool
    edits: dict[str, dict[str, Any] | None]
