"""Hosts, ports and node settings of a deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from clementineyoke_node.callers.authenticator import hash_key
from clementineyoke_standins.demo.deployment import (
    CALLER_PORT,
    FIRST_NODE_NUMBER,
    FIRST_RUNNER_PORT,
    NODE_COUNT,
    PEER_PORT,
    PLATFORM_ADDRESS,
    PLATFORM_PORT,
    RUNNER_ADDRESS,
)
from clementineyoke_wire.bodies import HostBody

if TYPE_CHECKING:
    from clementineyoke_standins.demo.deployment import Deployment

OPERATOR_KEY = "demo-operator-key"
PLATFORM_URL = f"http://{PLATFORM_ADDRESS}:{PLATFORM_PORT}"


def entry_hosts(deployment: Deployment) -> list[HostBody]:
    """Return the nine entry hosts, spread over the availability zones."""
    zones = deployment.availability_zones
    return [
        HostBody(
            host=f"node-{index + 1}",
            role="entry",
            address=f"127.0.0.{FIRST_NODE_NUMBER + index}",
            port=CALLER_PORT,
            peer_port=PEER_PORT,
            availability_zone=zones[index % len(zones)],
            region=deployment.region,
            state="live",
            pool="",
            slots=0,
        )
        for index in range(NODE_COUNT)
    ]


def runner_hosts(deployment: Deployment) -> list[HostBody]:
    """Return the engines followed by the instances of the plain service."""
    zones = deployment.availability_zones
    roles = ["engine"] * deployment.engines + ["service"] * deployment.services
    return [
        HostBody(
            host=f"{role}-{index + 1}",
            role=role,
            address=RUNNER_ADDRESS,
            port=FIRST_RUNNER_PORT + index,
            peer_port=0,
            availability_zone=zones[index % len(zones)],
            region=deployment.region,
            state="live",
            pool=deployment.model if role == "engine" else deployment.service,
            slots=(
                deployment.engine_slots
                if role == "engine"
                else deployment.service_slots
            ),
        )
        for index, role in enumerate(roles)
    ]


def node_settings(host: HostBody, **changes: Any) -> dict[str, Any]:
    """Return the settings document of a node; ``changes`` override its fields."""
    return {
        "node_id": host["host"],
        "address": host["address"],
        "caller_port": host["port"],
        "peer_port": host["peer_port"],
        "availability_zone": host["availability_zone"],
        "region": host["region"],
        "platform_url": PLATFORM_URL,
        "peer_keys": ["demo-peer-key"],
        "admin_key_hashes": [hash_key(OPERATOR_KEY)],
        "stop_linger_ms": 3000,
        "stop_deadline_ms": 20000,
        **changes,
    }


def admin_url(host: HostBody) -> str:
    """Return the URL of a node's admin API."""
    return f"http://{host['address']}:{host['peer_port']}"


def caller_url(host: HostBody) -> str:
    """Return the URL of a node's caller API."""
    return f"http://{host['address']}:{host['port']}"


def runner_url(host: HostBody) -> str:
    """Return the URL of a runner."""
    return f"http://{host['address']}:{host['port']}"
