"""Cap'n Proto encoding of messages between nodes."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple, get_args, get_type_hints

import capnp

from clementineyoke_wire.messages import Message
from clementineyoke_wire.packing import check_packed
from clementineyoke_wire.wire_error import WireError

_SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))


class DecodedMessage(NamedTuple):
    """Decoded message and the incarnation of the node that sent it."""

    incarnation: int
    message: Message


class _StructMapping(NamedTuple):
    """Mapping of a message class to its Cap'n Proto struct."""

    cls: Any
    fields: tuple[tuple[str, str, Any], ...]
    """Python name, Cap'n Proto name, class of the entries of a list of messages or
    None."""


def _to_camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(word.capitalize() for word in tail)


def _entry_class(hint: Any) -> Any:
    entries = get_args(hint)
    if entries and hasattr(entries[0], "_fields"):
        return entries[0]
    return None


def _build_mapping(cls: Any) -> _StructMapping:
    hints = get_type_hints(cls)
    fields = tuple(
        (name, _to_camel_case(name), _entry_class(hints[name])) for name in cls._fields
    )
    return _StructMapping(cls, fields)


def _union_name(cls: Any) -> str:
    name: str = cls.__name__
    return name[0].lower() + name[1:]


_MAPPINGS = {cls: _build_mapping(cls) for cls in get_args(Message)}
_BY_UNION_NAME = {_union_name(cls): mapping for cls, mapping in _MAPPINGS.items()}
_UNION_NAMES = {cls: _union_name(cls) for cls in _MAPPINGS}


def message_kind(message: Message) -> str:
    """Return the kind of a message, as named in metrics."""
    return _UNION_NAMES[type(message)]


def encode(message: Message, *, incarnation: int) -> bytes:
    """Encode a message in the packed Cap'n Proto format."""
    values = _to_values(message, _MAPPINGS[type(message)])
    union_name = _UNION_NAMES[type(message)]
    envelope = _SCHEMA.Envelope.new_message(
        incarnation=incarnation, **{union_name: values}
    )
    packed: bytes = envelope.to_bytes_packed()
    return packed


def decode(packed: bytes) -> DecodedMessage:
    """Decode a message; raises ``WireError`` if the bytes are not a valid one."""
    try:
        check_packed(packed)
        envelope = _SCHEMA.Envelope.from_bytes_packed(packed)
        mapping = _BY_UNION_NAME[str(envelope.which())]
        struct = getattr(envelope, _UNION_NAMES[mapping.cls])
        return DecodedMessage(envelope.incarnation, _from_struct(struct, mapping))
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise WireError(step="decode", peer="", reason=str(error)) from error


def _to_values(message: Any, mapping: _StructMapping) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for name, capnp_name, entry_class in mapping.fields:
        value = getattr(message, name)
        if not value:
            # A field that is not set has its type's zero or empty value when read.
            continue
        if entry_class is not None:
            entry_mapping = _entry_mapping(entry_class)
            value = [_to_values(entry, entry_mapping) for entry in value]
        values[capnp_name] = value
    return values


def _from_struct(struct: Any, mapping: _StructMapping) -> Any:
    values = []
    for _, capnp_name, entry_class in mapping.fields:
        value = getattr(struct, capnp_name)
        if entry_class is not None:
            entry_mapping = _entry_mapping(entry_class)
            value = [_from_struct(entry, entry_mapping) for entry in value]
        elif isinstance(value, capnp.lib.capnp._DynamicListReader):
            value = list(value)
        values.append(value)
    return mapping.cls._make(values)


_ENTRY_MAPPINGS: dict[Any, _StructMapping] = {}


def _entry_mapping(cls: Any) -> _StructMapping:
    if cls not in _ENTRY_MAPPINGS:
        _ENTRY_MAPPINGS[cls] = _build_mapping(cls)
    return _ENTRY_MAPPINGS[cls]
