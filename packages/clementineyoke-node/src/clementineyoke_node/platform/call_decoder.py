"""Decodes a caller's request from the platform's headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.edge.edge_call import EdgeCall
from clementineyoke_core.edge.prompt_key import PromptPart
from clementineyoke_node.platform import names
from clementineyoke_node.platform.format_error import FormatError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from multidict import CIMultiDictProxy

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)
"""Headers that apply to one connection only.

The content length is set again for the connection to the runner.
"""
HEADER_LINE_OVERHEAD_BYTES = len(": \r\n")
REQUEST_LINE_OVERHEAD_BYTES = len("  HTTP/1.1\r\n\r\n")
_SINGLE_VALUE_HEADERS = (
    names.CALL_ID,
    names.REMAINING_TIME_MS,
    names.AUTHORIZATION,
    "Host",
)


def decode_call(
    *,
    method: str,
    target: str,
    fields: CIMultiDictProxy[str],
    body: bytes,
) -> EdgeCall:
    """Decode a request; raises ``FormatError`` for a malformed or ambiguous head.

    A head is ambiguous if a header that must be unique occurs twice.
    """
    _check_single_values(fields)
    call_id = fields.get(names.CALL_ID, "")
    if not call_id or not target.startswith("/"):
        raise FormatError(step="decode_call", peer="caller", reason="no id or no path")
    last_event = fields.get(names.LAST_EVENT, "")
    return EdgeCall(
        call_id=call_id,
        method=method,
        target=target,
        path=target.partition("?")[0],
        hostname=fields.get("Host", "").partition(":")[0],
        forwarded_headers=_forwarded_headers(fields),
        head_bytes=_count_head_bytes(method, target, fields),
        body=body,
        key=_decode_key(fields.get(names.AUTHORIZATION)),
        budget_ms=_decode_budget(fields.get(names.REMAINING_TIME_MS)),
        model=fields.get(names.MODEL, ""),
        prompt_parts=tuple(_decode_parts(fields.get(names.PROMPT_PARTS, ""))),
        last_event=int(last_event) if last_event.isdigit() else None,
        max_output_tokens=_decode_output_tokens(fields.get(names.TOKEN_COUNTS, "")),
        resumes=fields.get(names.RESUMES),
    )


def remove_hop_by_hop(fields: Sequence[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without those that apply to one connection only."""
    connection_options = {
        option.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for option in value.split(",")
    }
    removed = HOP_BY_HOP_HEADERS | connection_options
    return [(name, value) for name, value in fields if name.lower() not in removed]


def _check_single_values(fields: CIMultiDictProxy[str]) -> None:
    for name in _SINGLE_VALUE_HEADERS:
        if len(fields.getall(name, [])) > 1:
            # Two nodes could each use a different one of the values.
            raise FormatError(
                step="decode_call", peer="caller", reason=f"{name} stands twice"
            )


def _count_head_bytes(method: str, target: str, fields: CIMultiDictProxy[str]) -> int:
    lines = sum(
        len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES
        for name, value in fields.items()
    )
    return len(method) + len(target) + REQUEST_LINE_OVERHEAD_BYTES + lines


def _forwarded_headers(fields: CIMultiDictProxy[str]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in remove_hop_by_hop(list(fields.items()))
        if name.lower() not in names.RESERVED_HEADERS
    )


def _decode_key(text: str | None) -> str | None:
    if text is None or not text.startswith(names.KEY_SCHEME):
        return None
    return text[len(names.KEY_SCHEME) :].strip()


def _decode_budget(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text)
    except ValueError as error:
        raise FormatError(
            step="decode_call",
            peer="caller",
            reason=f"{names.REMAINING_TIME_MS} {text!r}",
        ) from error


def _decode_output_tokens(text: str) -> int:
    """Return the maximum length of the output; 0 if it is missing or malformed."""
    tokens = text.partition(",")[2].strip()
    return int(tokens) if tokens.isascii() and tokens.isdigit() else 0


def _decode_parts(text: str) -> list[PromptPart]:
    parts = []
    for entry in text.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        if part_id:
            parts.append(PromptPart(part_id, int(tokens) if tokens.isdigit() else 0))
    return parts
