"""Headers of calls that a node forwards to a peer, and of the peer's responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_node.platform import names
from clementineyoke_node.platform.call_decoder import remove_hop_by_hop
from clementineyoke_node.platform.runner_codec import decode_response_head
from clementineyoke_wire.headers import HOP, HOP_REFUSED

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

    from clementineyoke_node.platform.runner_codec import ResponseHead

_REPLACED_HEADERS = frozenset(
    name.lower() for name in (names.REMAINING_TIME_MS, names.LAST_EVENT, HOP)
)


def encode_relayed_headers(
    fields: CIMultiDictProxy[str],
    *,
    remaining_ms: float,
    last_event: int | None,
    hop: str,
) -> list[tuple[str, str]]:
    """Return a caller's headers as a peer gets them, with the time that is left."""
    headers = [
        (name, value)
        for name, value in remove_hop_by_hop(list(fields.items()))
        if name.lower() not in _REPLACED_HEADERS
    ]
    headers.append((names.REMAINING_TIME_MS, str(max(1, int(remaining_ms)))))
    if last_event is not None:
        headers.append((names.LAST_EVENT, str(last_event)))
    headers.append((HOP, hop))
    return headers


def decode_relayed_head(
    status: int, fields: CIMultiDictProxy[str], *, method: str = "GET"
) -> ResponseHead:
    """Decode the head of a peer's response, without what concerns the hop only."""
    head = decode_response_head(status, fields, method=method)
    forwarded = [
        (name, value)
        for name, value in head.forwarded_headers
        if name.lower() != HOP_REFUSED.lower()
    ]
    return head._replace(forwarded_headers=forwarded)


def is_hop_refused(fields: CIMultiDictProxy[str]) -> bool:
    """Return whether a peer states that it could not serve a call, which did not run.

    A runner's answer never says so.
    """
    return HOP_REFUSED in fields and names.SERVER_SIGNATURE not in fields
