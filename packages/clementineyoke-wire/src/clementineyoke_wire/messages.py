"""Messages between nodes; ``peer.capnp`` defines their encoding.

Fields that refer to a runner or pool by an integer hold the 64-bit hash of its name,
which takes eight bytes instead of a text.
"""

from __future__ import annotations

from typing import NamedTuple


class SlotAsk(NamedTuple):
    """Request for a slot on a runner, sent to the runner's home node."""

    ask_id: int
    runner: int
    seen_mean: float
    """Mean load of the runners whose home nodes refused this request.

    0 except in a last-resort request; the home node recognizes one by a value above 0.
    """
    wait_ms: int = 0
    """How long the request may be queued; 0 for an immediate reply."""
    team: int = 0
    """Hash of the team's path; only set if the request may be queued or is described.
    """
    priority: int = 0
    load_factor: float = 0.0
    """Maximum load as a multiple of the mean; 0 for the home node's default.

    A last-resort request uses the default if that is higher, a request that may be
    queued always uses it.
    """
    objective_ms: int = 0
    """The call's latency objective; 0 if the request does not describe the call."""
    prompt_key: int = 0
    """Hash of the prompt's shared parts; 0 for a call without a prompt."""
    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0
    """Expected length of the output."""
    rejections: int = 0
    """One more than the rejections a second that the runner's pool can take.

    0 if no answer told the sender that the pool is brittle.
    """
    is_resumption: bool = False
    """Whether only runners of one of the pool's versions may serve the call."""


class SlotReply(NamedTuple):
    """Reply of a home node that grants or refuses a slot."""

    ask_id: int
    granted: bool
    in_use: int
    """Slots in use on the runner."""
    is_held: bool = False
    """Whether the slot was refused for a reason other than the runner's load."""
    reason: int = 0
    """Reason of a refusal; home nodes of an earlier release do not send it."""
    prefill_tokens: int = 0
    """Prompt tokens that the runner has to process for a granted call; 0 if unknown.
    """
    valid_ms: int = 0
    """Time from the request on within which the call must be sent; 0 for no limit."""


class SlotRelease(NamedTuple):
    """Return of a slot that is no longer in use."""

    ask_id: int
    runner: int
    is_answered: bool = False
    """Whether the runner responded to the call."""
    time_percent: int = 0
    """How long the answer took, in percent of the mean of its route's answers.

    0 if it was not measured. For a stream this compares the time per event.
    """
    is_rejected: bool = False
    """Whether the runner had no room for the call."""
    is_unused: bool = False
    """Whether the call was not sent to the runner."""


class RunnerSpeed(NamedTuple):
    """A runner's report of its load and speed, forwarded to the runner's home node."""

    runner: int
    running: int
    """Calls that the runner executes."""
    waiting: int
    """Calls that wait in the runner."""
    slots: int
    slowdown_percent: int
    """How long work takes now; 100 means as usual."""
    age_ms: int
    """Time since the sender received the report."""


class RunnerFault(NamedTuple):
    """Report to a runner's home node that a call failed or is overdue."""

    runner: int
    is_unreachable: bool = False
    """Whether no connection to the runner could be opened."""


class RunnerEnd(NamedTuple):
    """Report that a runner's lifetime has ended, sent to the runner's home node."""

    runner: int
    """Hash of the lifetime."""
    is_relayed: bool = False
    """Whether the home node sends it to all others."""


class RunnerBack(NamedTuple):
    """Report of a runner's home node that connections to its address are accepted.

    It follows a ``RunnerEnd``; the lifetime that accepts them may be another one.
    """

    runner: int
    """Hash of the lifetime that may have ended."""


class ReachAsk(NamedTuple):
    """Request to open a connection to a runner that others cannot reach."""

    ask_id: int
    runner: int


class ReachReply(NamedTuple):
    """Whether the sender reaches a runner."""

    ask_id: int
    verdict: int
    """0 if it cannot tell, 1 if it does, 2 if it does not but reaches others."""


class StreamNote(NamedTuple):
    """Which software version produces the events of a stream."""

    key: int
    """Hash of the caller's team and of the attempt that began the stream."""
    pool: int
    version: str
    is_ambiguous: bool
    """Whether streams of several versions or pools began under this key."""
    ttl_ms: int
    """How much longer the stream may be resumed."""


class StreamNews(NamedTuple):
    """Streams that the receiver keeps, so that they can be resumed at any node."""

    notes: list[StreamNote]


class StreamAsk(NamedTuple):
    """Question for the version of a stream, and for the versions of a pool."""

    ask_id: int
    key: int
    """0 if only the pool's versions are asked for."""
    pool: int
    must_confirm: bool = False
    """Whether the store is to confirm the versions first; ignored by earlier builds."""


class StreamReply(NamedTuple):
    """What a node knows of a stream and of a pool's recent versions."""

    ask_id: int
    notes: list[StreamNote]
    """The stream's note; empty if the stream is unknown."""
    versions: list[str]
    """Software versions of the pool's runners in the time that streams last."""
    observed_ms: int
    """For how much of that time the sender knows the versions."""
    runners_version: int
    """The revision of the store up to which it knows them; 0 from earlier builds."""
    observed_from_version: int = 0
    """The revision from which it knows them without a gap; 0 from earlier builds."""
    is_confirmed: bool = False
    """Whether the store has confirmed them since the question."""


class SlotRenewal(NamedTuple):
    """Renewal of the sender's slots on a runner.

    A new home node of the runner learns from it which slots are in use.
    """

    runner: int
    ask_ids: list[int]
    token_counts: list[int] = []
    """Memory that each call takes on the runner, in tokens; empty if unknown."""


class PoolLoad(NamedTuple):
    """A node's share of a pool's totals, from which peers estimate the mean load."""

    pool: int
    load: float
    runners: float


class RumourNote(NamedTuple):
    """Membership update: state of a third node as known to the sender."""

    node_id: str
    incarnation: int
    state: int


class CrashNote(NamedTuple):
    """The sender's record of a factor of calls whose runners crashed."""

    digest: bytes
    """Digest that identifies the factor: a request or a part of prompts."""
    clears: int
    """How often the factor was cleared because a call with it was answered."""
    crashes: int
    """Runners that crashed under calls with it since it was last cleared."""
    runners: list[str]
    """Lifetimes of the runners that crashed most recently."""
    age_ms: int
    """Time since the last crash, or since the factor was cleared."""
    companions: list[bytes] = []
    """Other factors of these calls; nodes of an earlier release send none."""
    companion_runners: list[int] = []
    """For each of ``companions``, one bit for each of ``runners`` that it was on."""
    teams: list[int] = []
    """Hashes of the teams whose calls with the factor were on the runners."""
    runner_ages_ms: list[int] = []
    """Time since each of ``runners`` crashed."""
    was_answered: bool = False
    """Whether calls with the factor were answered before these crashes."""


class CrashReport(NamedTuple):
    """Report to the home nodes of a call's factors that its runner crashed."""

    digest: bytes
    """Digest of the request."""
    runner: str
    """Lifetime of the runner that crashed."""
    sent_age_ms: int
    """Time since the request was sent to the runner."""
    ended_age_ms: int
    """Time since the runner crashed."""
    parts: list[bytes] = []
    """Digests of the parts of its prompt that other requests may share."""
    team: int = 0
    """Hash of the caller's team."""
    answered_ages_ms: list[int] = []
    """One more than the time since the sender last saw an answer to a call with the
    request or, in their order, with the parts; 0 if it knows of none."""


class TrialAsk(NamedTuple):
    """Request to a factor's home node to try one call with it."""

    ask_id: int
    digest: bytes


class TrialReply(NamedTuple):
    """Whether a call may be tried and, if not, the time until another may."""

    ask_id: int
    is_granted: bool
    wait_ms: int


class CrashNews(NamedTuple):
    """Update of records of factors of calls whose runners crashed."""

    crashes: list[CrashNote]


class Gossip(NamedTuple):
    """Probe or its reply, with load shares, membership updates and versions."""

    sequence: int
    is_reply: bool
    settings_version: int
    loads: list[PoolLoad]
    rumours: list[RumourNote]
    """Membership updates."""
    runners_version: int = 0
    """Store revision of the sender's list of runners."""
    state_age_ms: int = 0
    """Time since the sender's desired state was last confirmed as current."""
    runners_age_ms: int = 0
    """Time since the sender's list of runners was last confirmed as current."""
    crashes: list[CrashNote] = []
    """Some of the sender's crash records, in rotation, to replace lost updates."""
    evacuations_version: int = 0
    """Store revision of the last change of the evacuated zones."""
    evacuations_age_ms: int = 0
    """Time since the evacuated zones were last confirmed as current."""
    unreachable_pools: list[int] = []
    """Pools of which the sender reaches no runner."""


class RunnerNote(NamedTuple):
    """Entry of a runner in the store."""

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
    """Remaining time in which the runner is cold and may get only few calls."""
    version: str = ""
    """Version of the runner's software."""


class RemovalNote(NamedTuple):
    """Removal of a runner's entry from the store."""

    runner_id: str
    revision: int
    wait_ms: int
    """Remaining time in which the runner may return; above 0 if the entry lapsed."""
    born_ms: int
    is_refused: bool
    """Whether the entry still exists but is not valid."""


class StoreNews(NamedTuple):
    """Changes in the store, forwarded to nodes that do not watch it themselves."""

    state_version: int
    state_age_ms: int
    runners_base: int
    """The changes apply to a list of runners of this revision or later."""
    runners_version: int
    runners_age_ms: int
    runners: list[RunnerNote]
    removals: list[RemovalNote]
    evacuations_version: int = 0
    evacuations_age_ms: int = 0


class NodeHello(NamedTuple):
    """Introduction of a node where no host list is available."""

    is_reply: bool
    node_id: str
    address: str
    caller_port: int
    peer_port: int
    availability_zone: str
    region: str
    calls_per_s: int = 0
    """Capacity of the node; 0 if unknown."""


class ClaimRequest(NamedTuple):
    """Request to claim a key for one holder, sent to the home node of a shard."""

    ask_id: int
    shard: int
    key: str
    holder: str
    request_digest: str


class ClaimReply(NamedTuple):
    """Result of a claim, with the stored response if the call has completed."""

    ask_id: int
    verdict: int
    has_answer: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimResult(NamedTuple):
    """Report of a holder on the outcome of the call that it claimed."""

    shard: int
    key: str
    holder: str
    ran: bool
    has_answer: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ShareAsk(NamedTuple):
    """Request for tokens of a team's budget, sent to the budget's home node."""

    ask_id: int
    team: str
    tokens: int


class ShareReply(NamedTuple):
    """Granted tokens and, if there are none, the time until one is available."""

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
    | RunnerSpeed
    | ReachAsk
    | ReachReply
    | StreamNews
    | StreamAsk
    | StreamReply
    | TrialAsk
    | TrialReply
    | RunnerEnd
    | RunnerBack
)
"""Any message that a node may send to another."""
