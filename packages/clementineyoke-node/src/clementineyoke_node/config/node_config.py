"""Settings of a node with its own caller interface: validated JSON with comments."""

from __future__ import annotations

from typing import Any

import msgspec

from clementineyoke_node.config.config_error import ConfigError
from clementineyoke_node.config.json_file import read_json


class NodeConfig(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Addresses, keys, timeouts and limits of a node."""

    node_id: str
    address: str
    """IP address that callers and peers connect to."""
    caller_port: int
    peer_port: int
    """UDP port for peers; TCP port for operators, metrics and settings of peers."""
    availability_zone: str
    region: str
    platform_url: str
    peer_keys: list[str]
    """The first key signs; signatures by any key are accepted."""
    admin_key_hashes: list[str]
    """SHA-256 in hex of each operator's key."""
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    log_level: str = "INFO"
    slot_timeout_ms: int = 25
    """How long to wait for a home node's response to a slot request before the
    fallback."""
    share_timeout_ms: int = 250
    """How long to wait for a budget's home node, which may be in another region."""
    claim_timeout_ms: int = 3_000
    claim_shards: int = 16
    claim_batch_ms: int = 10
    gossip_interval_ms: int = 250
    """A probe counts as missed if it is unanswered when the next one is sent."""
    platform_timeout_ms: int = 2_000
    stop_linger_ms: int = 10_000
    """How long a stopping node still accepts callers that have cached its address."""
    stop_deadline_ms: int = 120_000
    max_body_bytes: int = 4_000_000
    max_requests: int = 2_000
    """Maximum requests in flight; more are refused with ``not_run``."""

    @property
    def calls_per_s(self) -> int:
        """Always 0: ``AddressHandler`` distributes callers by their teams' rates."""
        return 0


def load_node_config(path: str) -> NodeConfig:
    """Read and validate a settings file; raises ``ConfigError``."""
    return parse_node_config(read_json(path), source=path)


def parse_node_config(document: Any, *, source: str) -> NodeConfig:
    """Validate a settings document; raises ``ConfigError``."""
    try:
        config = msgspec.convert(document, NodeConfig)
    except msgspec.ValidationError as error:
        raise ConfigError(step="validate", source=source, reason=str(error)) from error
    if not config.peer_keys:
        raise ConfigError(step="validate", source=source, reason="peer_keys is empty")
    return config
