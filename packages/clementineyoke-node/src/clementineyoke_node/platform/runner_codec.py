"""Encodes the headers of calls to runners and decodes the heads of their responses."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.capacity.speed_report import SpeedReport
from clementineyoke_node.platform import names
from clementineyoke_node.platform.call_decoder import remove_hop_by_hop
from clementineyoke_wire.response_head import find_body_end

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

    from clementineyoke_core.edge.edge_call import EdgeCall
    from clementineyoke_wire.response_head import BodyEnd

MS_PER_S = 1000.0
MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300
STATUS_MISDIRECTED = 421
STATUSES_WITHOUT_EVENTS = frozenset((204, 205, 304))
RECEIVER_FIELDS = frozenset((names.CALL_ID.lower(), names.SERVER_SIGNATURE.lower()))
"""Fields that a response has once, and that identify it to the caller."""
BACKOFF_STATUSES = frozenset((429, 503))
"""Statuses of responses that may carry a backoff time."""
MAX_BACKOFF_MS = 3_600_000.0
"""Longer times are reduced to this: no restart takes an hour."""
EVENT_STREAM = "text/event-stream"
SPEED_FIELDS = 4
"""Fields of a load header that reports the runner's speed; others have three."""
MAX_LOAD_VALUE = 65_535
"""Larger values are reduced to this, which fits the fields of ``RunnerSpeed``."""
_LOAD_VALUE = re.compile(r"[0-9]{1,18}(?:\.[0-9]{1,18})?")
"""A non-negative number in ASCII digits; ``float`` also accepts ``nan`` and ``1_0``."""


_COUNT = re.compile(r"[0-9]{1,18}")
MAX_REJECTIONS_PER_S = 65_534
"""Larger values are reduced to this, which fits the field of ``SlotAsk``."""


class RoutingHeaders(NamedTuple):
    """The headers that the router adds to a call to one runner."""

    runner_id: str
    team: str | None
    remaining_ms: float
    urgency: int
    last_event: int | None
    fetch_from: str | None = None
    """IP:PORT of a runner that has more of the prompt in its cache."""


class ResponseHead(NamedTuple):
    """The decoded head of a runner's response."""

    status: int
    call_id: str
    """Id of the call that the runner responds to; empty if the head has none."""
    is_refusal: bool
    """Whether the runner states that it did not run the call."""
    has_signature: bool
    is_draining: bool
    """Whether the runner signals that it is draining."""
    retry_after_ms: float
    """Time for which the runner asks for backoff; 0 if it does not."""
    is_event_stream: bool
    has_content_coding: bool
    speed: SpeedReport | None
    """The runner's report of its speed; None without a valid one."""
    has_malformed_load: bool
    """Whether the head has a report of speed that cannot be parsed."""
    rejections_per_s: int | None
    """Rejections a second that the runner can take; None if it does not say."""
    has_malformed_rejections: bool
    """Whether the head says so in a form that cannot be parsed."""
    body_end: BodyEnd
    forwarded_headers: list[tuple[str, str]]

    @property
    def begins_stream(self) -> bool:
        """Whether the body is the events that the caller asked for.

        Failures and refusals may have the content type of a stream as well, and events
        cannot be told apart in a body with a content coding.
        """
        has_events = self.is_event_stream and not self.has_content_coding
        is_success = MIN_SUCCESS_STATUS <= self.status < MIN_REDIRECT_STATUS
        has_body = self.status not in STATUSES_WITHOUT_EVENTS
        return has_events and is_success and has_body and not self.is_refusal


def encode_call_headers(
    call: EdgeCall, routing: RoutingHeaders
) -> list[tuple[str, str]]:
    """Return the headers of a call to one runner."""
    fields = list(call.forwarded_headers)
    fields.append((names.EXPECTED_RUNNER, routing.runner_id))
    if call.budget_ms is not None or routing.remaining_ms:
        fields.append((names.REMAINING_TIME_MS, str(max(1, int(routing.remaining_ms)))))
    if routing.team is not None:
        fields.append((names.TEAM, routing.team))
    if routing.last_event is not None:
        fields.append((names.LAST_EVENT, str(routing.last_event)))
    if call.prompt_parts:
        fields.append((names.URGENCY, str(routing.urgency)))
    if routing.fetch_from is not None:
        fields.append((names.FETCH_FROM, routing.fetch_from))
    return fields


def decode_response_head(
    status: int, fields: CIMultiDictProxy[str], *, method: str = "GET"
) -> ResponseHead:
    """Decode the head of a runner's response to a call with a method."""
    load_fields = _split_load(status, fields)
    speed = _decode_speed(load_fields)
    return ResponseHead(
        status=status,
        call_id=fields.get(names.CALL_ID, ""),
        is_refusal=names.NOT_EXECUTED in fields or status == STATUS_MISDIRECTED,
        has_signature=names.SERVER_SIGNATURE in fields,
        is_draining=_is_draining(status, fields),
        retry_after_ms=_decode_retry_after_ms(status, fields),
        is_event_stream=fields.get("Content-Type", "").startswith(EVENT_STREAM),
        has_content_coding=_has_content_coding(fields),
        speed=speed,
        has_malformed_load=speed is None and len(load_fields) >= SPEED_FIELDS,
        rejections_per_s=_decode_rejections(fields),
        has_malformed_rejections=(
            names.BRITTLE in fields and _decode_rejections(fields) is None
        ),
        body_end=find_body_end(
            status,
            length=fields.get("Content-Length"),
            coding=fields.get("Transfer-Encoding"),
            answers_head_request=method == "HEAD",
        ),
        forwarded_headers=remove_hop_by_hop(list(fields.items())),
    )


def has_call_id(fields: CIMultiDictProxy[str]) -> bool:
    """Return whether a response tells which call it answers."""
    return bool(fields.get(names.CALL_ID))


def _has_content_coding(fields: CIMultiDictProxy[str]) -> bool:
    coding = fields.get("Content-Encoding", "").strip().lower()
    return coding not in ("", "identity")


def _is_draining(status: int, fields: CIMultiDictProxy[str]) -> bool:
    # Status 421 comes from another runner at the address, which signals its own state.
    if status == STATUS_MISDIRECTED:
        return False
    return fields.get(names.DRAINING, "").strip() == names.DRAINING_VALUE


def _split_load(status: int, fields: CIMultiDictProxy[str]) -> list[str]:
    # Status 421 comes from another runner at the address, which reports its own load.
    if status == STATUS_MISDIRECTED:
        return []
    return fields.get(names.SERVER_LOAD, "").split(",")


def _decode_speed(load_fields: list[str]) -> SpeedReport | None:
    """Return the report of a load header, or None if it has none or is malformed."""
    if len(load_fields) != SPEED_FIELDS:
        return None
    texts = [text.strip() for text in load_fields]
    if not all(_LOAD_VALUE.fullmatch(text) for text in texts):
        return None
    running, waiting, slots, slowdown = (
        min(MAX_LOAD_VALUE, round(float(text))) for text in texts
    )
    return SpeedReport(running, waiting, slots, slowdown)


def _decode_rejections(fields: CIMultiDictProxy[str]) -> int | None:
    text = fields.get(names.BRITTLE, "").strip()
    if not _COUNT.fullmatch(text):
        return None
    return min(MAX_REJECTIONS_PER_S, int(text))


def _decode_retry_after_ms(status: int, fields: CIMultiDictProxy[str]) -> float:
    """Return the backoff time of a response; 0 if it is missing or cannot be parsed."""
    if status not in BACKOFF_STATUSES:
        return 0.0
    try:
        retry_after_ms = float(fields.get(names.RETRY_AFTER, "")) * MS_PER_S
    except ValueError:
        return 0.0
    return min(retry_after_ms, MAX_BACKOFF_MS) if retry_after_ms > 0.0 else 0.0
