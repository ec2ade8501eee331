"""Typed messages between nodes; ``peer.capnp`` gives their form on the wire.

Runners and pools go by the 64-bit hash of their names: eight bytes instead of a text.
"""

from __future__ import annotations

from typing import NamedTuple


class SlotAsk(NamedTuple):
    """Ask a runner's home for a slot."""

    ask_id: int
    runner: int
    seen_mean: float
    """Mean load named by homes that refused this request; 0 without evidence."""
    wait_ms: int = 0
    """How long the asker will wait for a slot; 0 for an answer at once."""
    team: int = 0
    """Hash of the team's path; only for asks that wait."""
    priority: int = 0
    load_factor: float = 0.0
    """Multiple of the mean load up to which the call may go; 0 for the home's own."""


class SlotReply(NamedTuple):
    """The home's grant or refusal, with the slots in use on the runner."""

    ask_id: int
    granted: bool
    in_use: int
    is_held: bool = False
    """Whether the runner is held back for another reason than its load."""


class SlotRelease(NamedTuple):
    """Give a slot back."""

    ask_id: int
    runner: int
    is_answered: bool = False
    """Whether the runner answered the call."""


class RunnerFault(NamedTuple):
    """Tell a runner's home that a call there failed or is overdue."""

    runner: int
    is_unreachable: bool = False
    """Whether it took no connection."""


class SlotRenewal(NamedTuple):
    """Keep the sender's grants on a runner alive, or bring them to a new home."""

    runner: int
    ask_ids: list[int]


class PoolLoad(NamedTuple):
    """A node's share of a pool's totals, for averaging."""

    pool: int
    load: float
    runners: float


class RumourNote(NamedTuple):
    """What the sender heard of a third node."""

    node_id: str
    incarnation: int
    state: int


class CrashNote(NamedTuple):
    """What the sender knows of a request under which runners have ended."""

    digest: bytes
    """The request's mark."""
    clears: int
    crashes: int
    runners: list[str]
    """The last of the lifetimes that ended."""
    age_ms: int
    """How long ago the last one ended."""


class CrashReport(NamedTuple):
    """Tell a request's homes that a runner ended with a copy of it on board."""

    digest: bytes
    runner: str
    """The lifetime that ended."""
    sent_age_ms: int
    """How long ago the copy was sent to the runner."""
    ended_age_ms: int


class CrashNews(NamedTuple):
    """Tell what has changed in the records of requests and ended runners."""

    crashes: list[CrashNote]


class Gossip(NamedTuple):
    """A probe and its reply; both carry load shares, rumours and a version."""

    sequence: int
    is_reply: bool
    settings_version: int
    loads: list[PoolLoad]
    rumours: list[RumourNote]
    runners_version: int = 0
    """As of which revision of the store the sender knows the runners."""
    state_age_ms: int = 0
    """How long ago the sender's desired state was known to be the newest."""
    runners_age_ms: int = 0
    """How long ago the sender's list of runners was known to be the newest."""
    crashes: list[CrashNote] = []
    """Some of the records, in turn: what news of them was lost comes so."""
    evacuations_version: int = 0
    """As of which revision of the store the evacuated zones became what they are."""
    evacuations_age_ms: int = 0
    """How long ago these were known to be the newest."""


class RunnerNote(NamedTuple):
    """A runner's entry as the store holds it."""

    runner_id: str
    address: str
    port: int
    availability_zone: str
    region: str
    is_engine: bool
    pool: str
    slots: int
    is_leaving: bool
    revision: int
    born_ms: int
    cold_ms: int = 0
    """How much longer the runner bears only few calls."""


class RemovalNote(NamedTuple):
    """The end of a runner's entry."""

    runner_id: str
    revision: int
    wait_ms: int
    """How much longer the runner may return; above 0 if the entry lapsed."""
    born_ms: int
    is_refused: bool


class StoreNews(NamedTuple):
    """What the store told the sender, for nodes that do not watch it themselves."""

    state_version: int
    state_age_ms: int
    runners_base: int
    """The changes follow on any list of runners from this revision on."""
    runners_version: int
    runners_age_ms: int
    runners: list[RunnerNote]
    removals: list[RemovalNote]
    evacuations_version: int = 0
    evacuations_age_ms: int = 0


class NodeHello(NamedTuple):
    """A node makes itself known where no host list does."""

    is_reply: bool
    node_id: str
    address: str
    caller_port: int
    peer_port: int
    availability_zone: str
    region: str
    calls_per_s: int = 0
    """What the node bears; 0 if it does not say."""


class ClaimRequest(NamedTuple):
    """Ask a shard's home to claim a key for one holder."""

    ask_id: int
    shard: int
    key: str
    holder: str
    request_digest: str


class ClaimReply(NamedTuple):
    """The home's verdict, with the kept answer of a finished call."""

    ask_id: int
    verdict: int
    has_answer: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimResult(NamedTuple):
    """A holder's report of what became of its claim."""

    shard: int
    key: str
    holder: str
    ran: bool
    has_answer: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ShareAsk(NamedTuple):
    """Ask the home of a team's budget for request tokens."""

    ask_id: int
    team: str
    tokens: int


class ShareReply(NamedTuple):
    """The tokens granted, and how long until there is one if there was none."""

    ask_id: int
    tokens: float
    wait_ms: int


Message = (
    SlotAsk
    | SlotReply
    | SlotRelease
    | SlotRenewal
    | Gossip
    | ClaimRequest
    | ClaimReply
    | ClaimResult
    | ShareAsk
    | ShareReply
    | NodeHello
    | RunnerFault
    | StoreNews
    | CrashReport
    | CrashNews
)
"""Everything that a node may send to another."""
