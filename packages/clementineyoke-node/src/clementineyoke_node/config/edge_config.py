"""Settings of a node on the users' platform: JSON with comments, checked as a whole."""

from __future__ import annotations

import msgspec

from clementineyoke_core.edge.node_capacity import capacity_calls_per_s
from clementineyoke_node.config.config_error import ConfigError
from clementineyoke_node.config.json_file import read_json


class EdgeConfig(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where a node is, and the bounds that the operator sets."""

    node_id: str
    address: str
    """IP number that callers and peers connect to."""
    front: str
    """IP:PORT for callers."""
    ready: str
    """IP:PORT where the platform asks whether the node is ready."""
    directory: str
    """IP:PORT where callers ask which node to use."""
    control: str
    """IP:PORT for peers and operators."""
    peer_port: int
    """UDP for peers."""
    availability_zone: str
    region: str
    store: str
    """IP:PORT of the platform's store."""
    seeds: list[str]
    """IP:PORT of the control port of some nodes, which may be down."""
    peer_keys: list[str]
    """The first signs, all are accepted."""
    heartbeat_ms: float
    """How often runners renew their entries; they lapse after three times as long."""
    retry_ratio: float
    """Second tries allowed for each call, over all nodes."""
    retry_allowance: float
    """Second tries allowed besides, over all nodes."""
    retry_window_s: float
    cap_factor: float
    """Multiple of its service's mean load that no runner may pass."""
    apply_within_ms: float
    """The operator's bound on how soon a desired state is in force."""
    drain_within_ms: float
    """The operator's bound on how soon a leaving runner gets no more calls."""
    stop_deadline_s: float
    """From the order to stop until the process is killed."""
    longest_keep_s: float
    """Longest time that callers keep an answer to where to connect."""
    evacuate_within_ms: float | None = None
    """The operator's bound on how soon an emptied zone's runners get nothing new; None
    where zones are not emptied."""
    cpu_share: float | None = None
    """Share of a core that the host gives the node; None if it is not known."""
    cpu_speed: float | None = None
    """Speed of that core, as a multiple of an ordinary one."""
    link_mbps: float | None = None
    """What the host's link carries."""
    linger_ms: int = 2_600
    """How long a leaving node still takes calls: callers with an old answer to where
    to connect find it open. Some keep an answer of one second for three."""
    log_level: str = "INFO"
    slot_timeout_ms: int = 25
    """How long a home may take to answer a slot ask before the fallback."""
    gossip_interval_ms: int = 250
    """A probe unanswered when the next one goes out counts as missed."""
    max_requests: int = 1_000
    """Calls in flight at which a node refuses more: at 60 kB a stream, 60 MB."""

    @property
    def caller_port(self) -> int:
        """The port for callers, the same on every node."""
        return port_of(self.front)

    @property
    def calls_per_s(self) -> int:
        """Calls a second that processor and link bear; 0 if they are not known."""
        cpu_cores = (self.cpu_share or 0.0) * (self.cpu_speed or 0.0)
        return capacity_calls_per_s(
            cpu_cores=cpu_cores, link_mbps=self.link_mbps or 0.0
        )

    @property
    def control_port(self) -> int:
        """The port for peers and operators, the same on every node."""
        return port_of(self.control)


def port_of(address: str) -> int:
    """Return the port of IP:PORT."""
    return int(address.rpartition(":")[2])


def load_edge_config(path: str) -> EdgeConfig:
    """Read a node's settings; raises ``ConfigError`` that names file and fault."""
    try:
        return msgspec.convert(read_json(path), EdgeConfig)
    except msgspec.ValidationError as error:
        raise ConfigError(step="validate", source=path, reason=str(error)) from error
