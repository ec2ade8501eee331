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
    """A hop together with the call that it belongs to."""

    call_id: str
    hop: Hop


def encode_hop(hop: Hop, *, call_id: str, signer: MessageSigner) -> str:
    """Return the header of a call that is forwarded to a peer."""
    signed = signer.sign(msgspec.msgpack.encode(_SignedHop(call_id, hop)))
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
    return decoded.hop if decoded.call_id == call_id else None
