"""The catalogue of events: each log line carries one of these numbers."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple

from loguru import logger


class EventKind(NamedTuple):
    """An event's number, level and meaning."""

    number: int
    level: str
    meaning: str


class Event(Enum):
    """Every event that a process of the fleet may log. Numbers are never reused."""

    NODE_STARTED = EventKind(100, "INFO", "The node serves callers.")
    NODE_DRAINING = EventKind(101, "INFO", "The node was told to stop and drains.")
    NODE_STOPPED = EventKind(102, "INFO", "The node has nothing in flight and ends.")
    NODE_RELOADED = EventKind(104, "INFO", "The node read its settings file anew.")
    LOG_DROPPED = EventKind(105, "INFO", "Lines did not fit; says how many.")
    DRAIN_CUT = EventKind(103, "ERROR", "The stop's deadline cut requests in flight.")
    ROUTED = EventKind(200, "INFO", "A request got a slot; says the runner and why.")
    ROUTE_REFUSED = EventKind(201, "WARNING", "A request got no slot or no leave.")
    RUNNER_FAILED = EventKind(202, "WARNING", "An exchange with a runner failed.")
    ANSWER_CUT = EventKind(203, "WARNING", "A begun answer could not be completed.")
    CALLER_GONE = EventKind(204, "INFO", "The caller went away; its work is ended.")
    ANSWERED = EventKind(205, "INFO", "A request's whole answer was handed over.")
    SLOT_LAPSED = EventKind(210, "WARNING", "A grant was not renewed and lapsed.")
    HOME_SILENT = EventKind(211, "WARNING", "A home did not answer in time.")
    RUNNER_PAUSED = EventKind(212, "WARNING", "A runner failed too many of its calls.")
    RUNNER_OVERDUE = EventKind(213, "INFO", "A runner's answer is later than usual.")
    IDLE_LOST = EventKind(214, "WARNING", "A resting connection lost a call.")
    RUNNER_UNREACHABLE = EventKind(215, "WARNING", "Several nodes get no connection.")
    RUNNER_ENDED = EventKind(216, "WARNING", "A runner ended with calls on it.")
    REQUEST_SUSPECTED = EventKind(217, "WARNING", "Runners ended under one request.")
    REQUEST_BARRED = EventKind(218, "WARNING", "A request goes to no runner for now.")
    REQUEST_CLEARED = EventKind(219, "INFO", "A suspected request was answered.")
    RUNNER_UNSURE = EventKind(220, "INFO", "Whether a runner has ended is not known.")
    RUNNER_DRAINING = EventKind(
        221, "INFO", "An answer signals that its runner drains."
    )
    RUNNER_BACKOFF = EventKind(222, "INFO", "A refusal asks the node to back off.")
    NODE_DOWN = EventKind(300, "WARNING", "A node stopped answering probes.")
    NODE_BACK = EventKind(301, "INFO", "A node believed down answers again.")
    HOSTS_CHANGED = EventKind(302, "INFO", "The host list changed.")
    PLATFORM_AWAY = EventKind(303, "WARNING", "A call to the platform failed.")
    DATAGRAM_REFUSED = EventKind(304, "WARNING", "A peer datagram was refused.")
    PLATFORM_BACK = EventKind(307, "INFO", "The platform answers again.")
    PLATFORM_HISTORY_GONE = EventKind(308, "INFO", "A watch was too old; lists anew.")
    HOST_REFUSED = EventKind(309, "WARNING", "A host's entry could not be read.")
    PEER_STATE_MISSED = EventKind(310, "INFO", "A peer did not hand over its state.")
    STORE_WATCHED = EventKind(311, "INFO", "The node watches the store for its zone.")
    STORE_UNWATCHED = EventKind(312, "INFO", "Other nodes watch the store for it.")
    ENTRY_UNREADABLE = EventKind(314, "WARNING", "Objects of the store name nothing.")
    VIEW_STALE = EventKind(313, "WARNING", "Nobody confirmed the view; asks itself.")
    ZONE_EVACUATED = EventKind(315, "WARNING", "A zone's runners get nothing new.")
    ZONE_RETURNED = EventKind(316, "INFO", "A zone's runners may get calls again.")
    RUNNER_LAPSED = EventKind(317, "INFO", "An entry is gone; its runner may return.")
    TIMER_FAILED = EventKind(305, "ERROR", "Periodic work failed; it goes on.")
    TASK_FAILED = EventKind(306, "ERROR", "A background task died of a fault.")
    SETTINGS_IN_FORCE = EventKind(400, "INFO", "A settings version came into force.")
    SETTINGS_REFUSED = EventKind(401, "WARNING", "A change of settings was refused.")
    SETTINGS_RESTORED = EventKind(402, "INFO", "A snapshot of settings was taken over.")
    CLAIMS_WRITTEN = EventKind(500, "DEBUG", "A batch of claims became durable.")
    CLAIMS_CONFLICT = EventKind(501, "WARNING", "A claim write met a newer version.")
    CLAIMS_UNSURE = EventKind(502, "WARNING", "A claim write's reply was lost.")


def log_event(event: Event, **fields: Any) -> None:
    """Write one structured log line."""
    kind = event.value
    logger.bind(event=kind.number, **fields).log(kind.level, event.name.lower())


def log_failure(event: Event, error: Exception, **fields: Any) -> None:
    """Write one structured log line with the traceback of an unexpected error."""
    kind = event.value
    bound = logger.bind(event=kind.number, **fields).opt(exception=error)
    bound.log(kind.level, event.name.lower())


def render_catalogue() -> str:
    """Return the catalogue as the Markdown page of the docs."""
    lines = [
        "# Event catalogue",
        "",
        "Made by `make events`; CI compares it with the code. Every log line of a node",
        "is one JSON object with `event` (the number), `message` (the name), `time`,",
        "`level` and the fields of the event.",
        "",
        "| number | event | level | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for event in Event:
        kind = event.value
        name = event.name.lower()
        lines.append(f"| {kind.number} | {name} | {kind.level} | {kind.meaning} |")
    return "\n".join(lines) + "\n"
