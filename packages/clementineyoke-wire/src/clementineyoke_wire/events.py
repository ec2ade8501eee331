"""Catalogue of log events: each log line has one of these numbers."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple

from loguru import logger


class EventKind(NamedTuple):
    """Number, level and meaning of an event."""

    number: int
    level: str
    meaning: str


class Event(Enum):
    """Events logged by the processes of a fleet. Numbers are never reused."""

    NODE_STARTED = EventKind(100, "INFO", "The node started and accepts requests.")
    NODE_DRAINING = EventKind(101, "INFO", "The node was asked to stop and drains.")
    NODE_STOPPED = EventKind(102, "INFO", "The node has drained and exits.")
    NODE_RELOADED = EventKind(104, "INFO", "The node reloaded its settings file.")
    LOG_DROPPED = EventKind(105, "INFO", "Log lines were dropped; gives their number.")
    LOOP_STALLED = EventKind(
        106, "WARNING", "The node's event loop stood still; gives for how long."
    )
    DRAIN_CUT = EventKind(103, "ERROR", "The stop deadline cut off requests in flight.")
    ROUTED = EventKind(200, "INFO", "A request got a slot; gives runner and reason.")
    ROUTE_REFUSED = EventKind(201, "WARNING", "A request got no slot or was rejected.")
    RUNNER_FAILED = EventKind(202, "WARNING", "A call to a runner failed.")
    ANSWER_CUT = EventKind(203, "WARNING", "A response was cut off after it had begun.")
    CALLER_GONE = EventKind(204, "INFO", "The caller left; its request was cancelled.")
    ANSWERED = EventKind(205, "INFO", "A request was answered completely.")
    CALL_FAILED = EventKind(
        206, "ERROR", "A call ended with an unexpected exception; answered with 500."
    )
    SLOT_LAPSED = EventKind(210, "WARNING", "A slot was not renewed and has expired.")
    HOME_SILENT = EventKind(211, "WARNING", "A home node did not answer in time.")
    RUNNER_PAUSED = EventKind(
        212, "WARNING", "A runner is paused after too many failed calls."
    )
    RUNNER_OVERDUE = EventKind(213, "INFO", "A runner's response is later than usual.")
    IDLE_LOST = EventKind(214, "WARNING", "A call failed on a reused idle connection.")
    RUNNER_UNREACHABLE = EventKind(
        215, "WARNING", "Several nodes fail to connect to a runner."
    )
    RUNNER_ENDED = EventKind(216, "WARNING", "A runner crashed with calls in flight.")
    REQUEST_SUSPECTED = EventKind(
        217, "WARNING", "Runners crashed under one request or part of prompts."
    )
    REQUEST_BARRED = EventKind(
        218, "WARNING", "A request was refused: it or a part crashes runners."
    )
    REQUEST_CLEARED = EventKind(
        219, "INFO", "A suspected request or part was answered."
    )
    RUNNER_UNSURE = EventKind(220, "INFO", "It is unknown whether a runner crashed.")
    RUNNER_DRAINING = EventKind(221, "INFO", "A runner's response says it is draining.")
    RUNNER_BACKOFF = EventKind(
        222, "INFO", "A runner refused a call and asked for backoff."
    )
    ADMISSION_LEVEL = EventKind(
        223, "INFO", "A pool's admission level moved by half a rank or back to 0."
    )
    PRESSURE_LOCAL = EventKind(
        224, "WARNING", "No gossip: admission follows this node's own runners only."
    )
    PRESSURE_SHARED = EventKind(
        225, "INFO", "Admission follows the fleet's mean pressure."
    )
    CALL_TOO_LARGE = EventKind(
        230, "WARNING", "A call is larger than the memory of its pool's runners."
    )
    RUNNER_MEMORY_FULL = EventKind(
        231, "INFO", "A runner's memory is almost reserved, or is free again."
    )
    PREFILL_RATE_LEARNED = EventKind(
        232, "INFO", "The prefill rate of a pool was learned or has changed."
    )
    RUNNER_SLOW = EventKind(
        233, "INFO", "A runner is slower than its pool; its load bound is lowered."
    )
    RUNNER_SPEED_USUAL = EventKind(
        234, "INFO", "A slow runner is about as fast as its pool again."
    )
    RUNNER_SPEED_DOUBTED = EventKind(
        235, "WARNING", "A runner reports to be slow but answers as fast as others."
    )
    RETURN_RATE_CHANGED = EventKind(
        227, "INFO", "The rate of a pool's returning calls has another source."
    )
    RETURNS_OVERBOOKED = EventKind(
        228, "WARNING", "More calls of a pool are rejected than can return in time."
    )
    GRANT_EXPIRED = EventKind(
        236,
        "INFO",
        "A slot on a cold runner was returned: the call was not sent in time.",
    )
    POOL_UNREACHABLE = EventKind(
        237, "WARNING", "The node reaches no runner of a pool; peers get its calls."
    )
    POOL_REACHABLE = EventKind(238, "INFO", "The node reaches a pool's runners again.")
    FORWARDED = EventKind(239, "INFO", "A call is forwarded to a peer.")
    FORWARD_FAILED = EventKind(240, "WARNING", "A peer did not forward a call.")
    RUNNER_REACHED = EventKind(
        241, "INFO", "Another node reaches a paused runner; its pause ends."
    )
    POOL_BRITTLE = EventKind(
        242, "INFO", "Answers say how many rejections a second a pool's runners take."
    )
    POOL_ROBUST = EventKind(
        243, "INFO", "Answers no longer say that a pool is brittle."
    )
    STREAM_RESUMED = EventKind(
        244, "INFO", "A caller resumes a stream; says whether its version was found."
    )
    POOL_VERSIONS = EventKind(
        245, "INFO", "The recent software versions of a pool's runners changed."
    )
    RUNNER_KEPT = EventKind(
        246, "INFO", "A silent runner went on before another one took its call."
    )
    BYTES_REFUSED = EventKind(
        247, "WARNING", "Bytes without end, or an answer too long to hold, were cut."
    )
    VERSIONS_STORED = EventKind(
        248, "INFO", "The recent versions of the pools were written to the store."
    )
    END_CHECKED = EventKind(
        249, "INFO", "An answer ended with its connection; says whether its runner did."
    )
    RUNNER_DOUBTED = EventKind(
        250, "INFO", "A runner may have started again at another version."
    )
    HEAD_REFUSED = EventKind(
        251, "WARNING", "A response was refused, as its head breaks HTTP's grammar."
    )
    NODE_DOWN = EventKind(300, "WARNING", "A node no longer answers probes.")
    NODE_BACK = EventKind(301, "INFO", "A node that was down answers again.")
    HOSTS_CHANGED = EventKind(302, "INFO", "The host list changed.")
    PLATFORM_AWAY = EventKind(303, "WARNING", "A call to the platform failed.")
    DATAGRAM_REFUSED = EventKind(304, "WARNING", "A message from a peer was refused.")
    PLATFORM_BACK = EventKind(307, "INFO", "The platform answers again.")
    PLATFORM_HISTORY_GONE = EventKind(
        308, "INFO", "A watch's revision was too old; lists all entries."
    )
    HOST_REFUSED = EventKind(309, "WARNING", "An entry of the store is not valid.")
    PEER_STATE_MISSED = EventKind(310, "INFO", "A peer's state could not be fetched.")
    STORE_WATCHED = EventKind(311, "INFO", "The node watches the store for its zone.")
    STORE_UNWATCHED = EventKind(312, "INFO", "Other nodes watch the store instead.")
    ENTRY_UNREADABLE = EventKind(314, "WARNING", "Store objects could not be decoded.")
    VIEW_STALE = EventKind(313, "WARNING", "No peer confirms the view; asks the store.")
    ZONE_EVACUATED = EventKind(315, "WARNING", "A zone's runners get no new calls.")
    ZONE_RETURNED = EventKind(316, "INFO", "A zone's runners get calls again.")
    RUNNER_LAPSED = EventKind(317, "INFO", "A runner's entry vanished; it may return.")
    STORE_WATCH_CUT = EventKind(
        318, "INFO", "The store cut off a waiting watch; asks at once."
    )
    RUNNER_REPLACED = EventKind(
        319, "INFO", "An entry names another start or version of its runner."
    )
    TIMER_FAILED = EventKind(305, "ERROR", "A periodic task failed; it keeps running.")
    TASK_FAILED = EventKind(306, "ERROR", "A background task failed with an exception.")
    SETTINGS_IN_FORCE = EventKind(400, "INFO", "A settings version was applied.")
    SETTINGS_REFUSED = EventKind(401, "WARNING", "A change of settings was rejected.")
    SETTINGS_RESTORED = EventKind(402, "INFO", "Settings were loaded from a snapshot.")
    CLAIMS_WRITTEN = EventKind(500, "DEBUG", "A batch of claims was written durably.")
    CLAIMS_CONFLICT = EventKind(
        501, "WARNING", "A claim write conflicted with a newer version."
    )
    CLAIMS_UNSURE = EventKind(
        502, "WARNING", "The outcome of a claim write is unknown."
    )


def log_event(event: Event, **fields: Any) -> None:
    """Write a structured log line."""
    kind = event.value
    logger.bind(event=kind.number, **fields).log(kind.level, event.name.lower())


def log_failure(event: Event, error: Exception, **fields: Any) -> None:
    """Write a structured log line with the traceback of an unexpected error."""
    kind = event.value
    bound = logger.bind(event=kind.number, **fields).opt(exception=error)
    bound.log(kind.level, event.name.lower())


def render_catalogue() -> str:
    """Render the catalogue as a Markdown page for the documentation."""
    lines = [
        "# Event catalogue",
        "",
        "Generated by `make events`; CI checks that it is current. Every log line of a",
        "node is a JSON object with `event` (number), `message` (name), `time`,",
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
