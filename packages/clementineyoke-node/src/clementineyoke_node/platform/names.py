"""Names of the platform's protocol, spelled as on the wire."""

from __future__ import annotations

from clementineyoke_wire.headers import HOP

SETTINGS_FILE_VARIABLE = "CLEMENTINEYOKE_NODE_FILE"
"""Environment variable with the path of this node's settings file."""

CALL_ID = "X-Attempt-Id"
"""Id of one attempt of a caller; a retry by the caller has another id."""
REMAINING_TIME_MS = "X-Deadline-Ms"
"""Time left from the request's arrival; despite its name not a point in time."""
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Token "
TEAM = "X-Tenant"
EXPECTED_RUNNER = "X-Target-Instance"
"""Id of the runner that a call is for; another runner at its address refuses it."""
NOT_EXECUTED = "X-Not-Executed"
SERVER_SIGNATURE = "X-Server-Signature"
MODEL = "X-Model"
PROMPT_PARTS = "X-Prompt-Prefix"
"""All parts of the prompt, not only the shared prefix: the last part is the call's."""
TOKEN_COUNTS = "X-Token-Counts"
"""Prompt tokens and the maximum number of output tokens, separated by a comma."""
LAST_EVENT = "Last-Event-Id"
RESUMES = "Resumes"
"""Id of the caller's attempt that brought the first event of the stream it resumes."""
URGENCY = "X-Request-Urgency"
"""From 0, the most urgent, to 9."""
FETCH_FROM = "Kv-Fetch"
RETRY_AFTER = "Retry-After"
"""In seconds; fractions are allowed."""
DRAINING = "Server-Leaving"
"""Set in every response of a draining runner."""
DRAINING_VALUE = "1"
SERVER_LOAD = "X-Server-Load"
"""Running calls, waiting calls, slots and, in some deployments, how long work takes now
in percent of the usual time; separated by commas."""

BRITTLE = "Server-Brittle"
"""Rejections in a second above which the runner falls over; absent if it does not."""

RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        TEAM,
        EXPECTED_RUNNER,
        REMAINING_TIME_MS,
        URGENCY,
        FETCH_FROM,
        LAST_EVENT,
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "X-Expected-Version",
        HOP,
    )
)
"""Headers that only the router sets; those of a caller are not forwarded to runners."""

PRESSURE_CONTRACT = "pressure"
"""Rule set for callers that compete for too few runners."""

RESOLVE_PATH = "/v1/resolve"
READY_PATH = "/v1/readyz"

STATE_KIND = "config"
STATE_NAME = "main"
RUNNERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
"""One object for each evacuated zone, named after the zone."""
NODES_KIND = "yoke-nodes"
"""Written by the router: one object for each node."""
VERSIONS_KIND = "yoke-versions"
"""Written by the router: one object with the recent software versions of each pool."""
VERSIONS_NAME = "pools"
STREAMS_KIND = "yoke-streams"
"""Written by the router: two objects with the versions that began streams under way."""
CRASHES_KIND = "yoke-crashes"
"""Written by the router: one object for each request that is refused because it has
crashed runners."""
