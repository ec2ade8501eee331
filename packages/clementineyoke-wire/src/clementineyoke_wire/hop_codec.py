"""Signed header of calls that one node forwards to another."""

from __future__ import annotations

import binascii
from base64 import urlsafe_b64decode, urlsafe_b64encode
from typing import TYPE_CHECKING

import msgspec

from clementineyoke_core.edge.hop import Hop
from clementineyoke_wire.wire_error import WireError

if TYPE_CHECKING:
    from clementineyoke_wire.message_signer import MessageSigner


class _SignedHop(msgspec.Struct, frozen=True, array_like=True):
    """A hop together with the call that it belongs to.

    Nodes of an earlier release send and read the first two fields only.
    """

    call_id: str
    hop: tuple[str, int, int]
    """Node, runners used and revision of the desired state."""
    stream_version: str | None = None


def encode_hop(hop: Hop, *, call_id: str, signer: MessageSigner) -> str:
    """Return the header of a call that is forwarded to a peer."""
    fields = (hop.node_id, hop.runners_used, hop.state_revision)
    signed_hop = _SignedHop(call_id, fields, hop.stream_version)
    signed = signer.sign(msgspec.msgpack.encode(signed_hop))
    return urlsafe_b64encode(signed).decode()


def decode_hop(text: str, *, call_id: str, signer: MessageSigner) -> Hop | None:
    """Return the hop of a call, or None if no node has signed it for this call.

    Callers could otherwise skip the limits that apply to their own calls.
    """
    try:
        payload = signer.verify(urlsafe_b64decode(text), peer="")
        decoded = msgspec.msgpack.decode(payload, type=_SignedHop)
    except (WireError, binascii.Error, ValueError):
        return None
    if decoded.call_id != call_id:
        return None
    return Hop(*decoded.hop, decoded.stream_version)
