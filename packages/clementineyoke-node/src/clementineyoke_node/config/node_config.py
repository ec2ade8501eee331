"""A node's own settings file: JSON with comments, checked as a whole."""

from __future__ import annotations

from typing import Any

import msgspec

from clementineyoke_node.config.config_error import ConfigError
from clementineyoke_node.config.json_file import read_json


class NodeConfig(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where a node is, whom it trusts and how long it waits."""

    node_id: str
    address: str
    """IP number that callers and peers connect to."""
    caller_port: int
    peer_port: int
    """UDP for peers; TCP for operators, metrics and settings between peers."""
    availability_zone: str
    region: str
    platform_url: str
    peer_keys: list[str]
    """The first signs, all are accepted."""
    admin_key_hashes: list[str]
    """SHA-256 in hex of each operator's key."""
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    log_level: str = "INFO"
    slot_timeout_ms: int = 25
    """How long a home may take to answer a slot ask before the fallback."""
    share_timeout_ms: int = 250
    """How long a budget's home, maybe in another region, may take to answer."""
    claim_timeout_ms: int = 3_000
    claim_shards: int = 16
    claim_batch_ms: int = 10
    gossip_interval_ms: int = 250
    """A probe unanswered when the next one goes out counts as missed."""
    platform_timeout_ms: int = 2_000
    stop_linger_ms: int = 10_000
    """How long a stopping node still takes callers with an old address answer."""
    stop_deadline_ms: int = 120_000
    max_body_bytes: int = 4_000_000
    max_requests: int = 2_000
    """Requests in flight at which a node answers ``not_run``."""

    @property
    def calls_per_s(self) -> int:
        """Not told here: callers of this interface are steered by their team's rate."""
        return 0


def load_node_config(path: str) -> NodeConfig:
    """Read a node's settings; raises ``ConfigError`` that names file and fault."""
    return parse_node_config(read_json(path), source=path)


def parse_node_config(document: Any, *, source: str) -> NodeConfig:
    """Check a settings document; raises ``ConfigError``."""
    try:
        config = msgspec.convert(document, NodeConfig)
    except msgspec.ValidationError as error:
        raise ConfigError(step="validate", source=source, reason=str(error)) from error
    if not config.peer_keys:
        raise ConfigError(step="validate", source=source, reason="peer_keys is empty")
    return config
