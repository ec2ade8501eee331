"""Settings of a node on the users' platform: validated JSON with comments."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from clementineyoke_core.edge.held_bytes import FREE_BYTES
from clementineyoke_core.edge.node_capacity import capacity_calls_per_s
from clementineyoke_core.overload.overload_features import OverloadFeatures
from clementineyoke_node.bounds.byte_limits import (
    DEFAULT_MAX_ANSWER_BYTES,
    DEFAULT_MAX_HELD_BYTES,
    ByteLimits,
)
from clementineyoke_node.config.config_error import ConfigError
from clementineyoke_node.config.json_file import read_json
from clementineyoke_node.platform.feature_decoder import decode_features

if TYPE_CHECKING:
    from clementineyoke_node.metrics import Metrics

BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 300.0
REQUEST_MEMORY_SHARE = 0.2
"""A body is held once more while it is read, and freed memory is not given back at
once. Code, connections and responses need the rest."""


class EdgeConfig(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Addresses of a node and the limits that the operator sets."""

    node_id: str
    address: str
    """IP address that callers and peers connect to."""
    front: str
    """IP:PORT for callers."""
    ready: str
    """IP:PORT for the platform's readiness checks."""
    directory: str
    """IP:PORT where callers request node addresses."""
    control: str
    """IP:PORT for peers and operators."""
    peer_port: int
    """UDP port for peers."""
    availability_zone: str
    region: str
    store: str
    """IP:PORT of the platform's store."""
    seeds: list[str]
    """IP:PORT of the control ports of some nodes; the nodes may be down."""
    peer_keys: list[str]
    """The first key signs; signatures by any key are accepted."""
    heartbeat_ms: float
    """Interval at which runners renew their entries; an entry expires after three
    intervals."""
    retry_ratio: float
    """Retries allowed per call, over all nodes."""
    retry_allowance: float
    """Retries allowed in addition, over all nodes."""
    retry_window_s: float
    cap_factor: float
    """Maximum load of a runner, as a multiple of its service's mean load."""
    apply_within_ms: float
    """Maximum time until a desired state is in force."""
    drain_within_ms: float
    """Maximum time until a draining runner receives no more calls."""
    stop_deadline_s: float
    """Time from the stop signal until the process is killed."""
    longest_keep_s: float
    """Maximum time for which callers cache node addresses."""
    evacuate_within_ms: float | None = None
    """Maximum time until the runners of an evacuated zone receive no new calls; None if
    zones are not evacuated."""
    cpu_share: float | None = None
    """Share of a core that the host gives the node; None if unknown."""
    cpu_speed: float | None = None
    """Speed of that core, as a multiple of a standard core's; None if unknown."""
    memory_mb: float | None = None
    """Memory that the host gives the node; None if unknown."""
    link_mbps: float | None = None
    """Bandwidth of the host's link; None if unknown."""
    runner_source_address: str = ""
    """Local IP address of connections to runners; the system chooses one if empty."""
    linger_ms: int = 2_600
    """How long a draining node still accepts calls from callers that have cached its
    address. Some callers cache addresses with a lifetime of one second for three."""
    contracts: list[str] = []
    """Names of the platform's rule sets in force; they select the default of each
    overload setting that is None."""
    priority_admission: bool | None = None
    """Whether pools with routes of different priorities reject less urgent calls
    first."""
    return_schedule: bool | None = None
    """Whether rejected calls are told to return when the pool has room for them."""
    token_reservations: bool | None = None
    """Whether slots on engines depend on the tokens that a call adds to its runner."""
    speed_weighting: bool | None = None
    """Whether runners that are slow at the moment get fewer calls."""
    log_level: str = "INFO"
    slot_timeout_ms: int = 25
    """How long to wait for a home node's response to a slot request before the
    fallback."""
    gossip_interval_ms: int = 250
    """A probe counts as missed if it is unanswered when the next one is sent."""
    max_answer_bytes: Annotated[int, msgspec.Meta(ge=FREE_BYTES)] = (
        DEFAULT_MAX_ANSWER_BYTES
    )
    """Longest response that is held as a whole; longer ones are relayed if their length
    is known, and refused else."""
    max_held_bytes: int = DEFAULT_MAX_HELD_BYTES
    """What is held of all responses at most; above it only short ones are held."""
    max_request_bytes: Annotated[int, msgspec.Meta(ge=FREE_BYTES)] | None = None
    """What is held of the bodies of all requests at most; above it only short ones are
    accepted. None for a share of the memory."""
    max_requests: int = 1_000
    """Maximum calls in flight; at 60 kB per stream, 60 MB. More are refused."""

    def make_byte_limits(self, metrics: Metrics) -> ByteLimits:
        """Return the bounds on what the node holds of others."""
        return ByteLimits(
            max_answer_bytes=self.max_answer_bytes,
            max_held_bytes=self.max_held_bytes,
            metrics=metrics,
        )

    def __post_init__(self) -> None:
        """Raise ``ValueError`` if the bounds on held bytes do not fit together."""
        if self.max_answer_bytes > self.max_held_bytes:
            message = (
                f"max_answer_bytes of {self.max_answer_bytes} exceeds max_held_bytes of"
                f" {self.max_held_bytes}"
            )
            raise ValueError(message)

    @property
    def request_bytes(self) -> int:
        """What is held of the bodies of all requests at most."""
        if self.max_request_bytes is not None:
            return self.max_request_bytes
        memory_mb = DEFAULT_MEMORY_MB if self.memory_mb is None else self.memory_mb
        return int(memory_mb * BYTES_PER_MB * REQUEST_MEMORY_SHARE)

    @property
    def caller_port(self) -> int:
        """TCP port for callers, the same on every node."""
        return port_of(self.front)

    @property
    def calls_per_s(self) -> int:
        """Calls per second that processor and link can carry; 0 if unknown."""
        cpu_cores = (self.cpu_share or 0.0) * (self.cpu_speed or 0.0)
        return capacity_calls_per_s(
            cpu_cores=cpu_cores, link_mbps=self.link_mbps or 0.0
        )

    @property
    def overload_features(self) -> OverloadFeatures:
        """The overload features in force: set explicitly, or by the contracts."""
        defaults = decode_features(self.contracts)
        chosen = {
            name: getattr(self, name)
            for name in OverloadFeatures._fields
            if getattr(self, name) is not None
        }
        return defaults._replace(**chosen)

    @property
    def control_port(self) -> int:
        """TCP port for peers and operators, the same on every node."""
        return port_of(self.control)


def port_of(address: str) -> int:
    """Return the port of IP:PORT."""
    return int(address.rpartition(":")[2])


def load_edge_config(path: str) -> EdgeConfig:
    """Read and validate a settings file; raises ``ConfigError``."""
    try:
        return msgspec.convert(read_json(path), EdgeConfig)
    except msgspec.ValidationError as error:
        raise ConfigError(step="validate", source=path, reason=str(error)) from error
