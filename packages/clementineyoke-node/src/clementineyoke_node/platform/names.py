"""The platform's names on the wire, spelled as it spells them."""

from __future__ import annotations

SETTINGS_FILE_VARIABLE = "CLEMENTINEYOKE_NODE_FILE"
"""Environment variable that holds the path of this node's settings."""

CALL_ID = "X-Attempt-Id"
"""Names one try of a caller; a caller's second try has another one."""
TIME_LEFT_MS = "X-Deadline-Ms"
"""A duration from the arrival on, not a point in time, though its name says so."""
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Token "
TEAM = "X-Tenant"
EXPECTED_RUNNER = "X-Target-Instance"
"""The id of the runner that is meant: another one at its address refuses."""
NOT_EXECUTED = "X-Not-Executed"
PROOF = "X-Server-Signature"
MODEL = "X-Model"
PROMPT_PARTS = "X-Prompt-Prefix"
"""The whole prompt in parts, not only its shared beginning: the last is the call's."""
LAST_EVENT = "Last-Event-Id"
URGENCY = "X-Request-Urgency"
"""0 goes first and 9 last: a small number is an urgent one."""
FETCH_FROM = "Kv-Fetch"
RETRY_AFTER = "Retry-After"
"""In seconds, with fractions."""
DRAINING = "Server-Leaving"
"""In all answers of a runner that drains."""
DRAINING_VALUE = "1"

ONLY_OURS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        TEAM,
        EXPECTED_RUNNER,
        TIME_LEFT_MS,
        URGENCY,
        FETCH_FROM,
        LAST_EVENT,
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "X-Expected-Version",
    )
)
"""Headers that only the system may set: a caller's own never reach a runner."""

RESOLVE_PATH = "/v1/resolve"
READY_PATH = "/v1/readyz"

STATE_KIND = "config"
STATE_NAME = "main"
RUNNERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
"""One object for each zone whose runners are to get nothing new, named by the zone."""
NODES_KIND = "yoke-nodes"
"""A kind of the system's own: one object for each node."""
CRASHES_KIND = "yoke-crashes"
"""A kind of the system's own: one object for each request that is refused for the
runners that ended under it."""
