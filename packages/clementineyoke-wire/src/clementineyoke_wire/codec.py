"""Cap'n Proto encoding of the messages between nodes."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple, get_args, get_type_hints

import capnp

from clementineyoke_wire.messages import Message
from clementineyoke_wire.packing import check_packed
from clementineyoke_wire.wire_error import WireError

_SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))


class Received(NamedTuple):
    """A decoded message and the incarnation of the node that sent it."""

    incarnation: int
    message: Message


class _Shape(NamedTuple):
    """How a message class maps to its Cap'n Proto struct."""

    cls: Any
    fields: tuple[tuple[str, str, Any], ...]
    """Python name, Cap'n Proto name, class of list entries or None."""


def _camel(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(word.capitalize() for word in tail)


def _entry_class(hint: Any) -> Any:
    entries = get_args(hint)
    if entries and hasattr(entries[0], "_fields"):
        return entries[0]
    return None


def _shape_of(cls: Any) -> _Shape:
    hints = get_type_hints(cls)
    fields = tuple(
        (name, _camel(name), _entry_class(hints[name])) for name in cls._fields
    )
    return _Shape(cls, fields)


def _union_name(cls: Any) -> str:
    name: str = cls.__name__
    return name[0].lower() + name[1:]


_SHAPES = {cls: _shape_of(cls) for cls in get_args(Message)}
_BY_UNION_NAME = {_union_name(cls): shape for cls, shape in _SHAPES.items()}
_UNION_NAMES = {cls: _union_name(cls) for cls in _SHAPES}


def kind_of(message: Message) -> str:
    """Return a message's kind, as metrics name it."""
    return _UNION_NAMES[type(message)]


def encode(message: Message, *, incarnation: int) -> bytes:
    """Return the packed bytes of a message."""
    values = _to_values(message, _SHAPES[type(message)])
    union_name = _UNION_NAMES[type(message)]
    envelope = _SCHEMA.Envelope.new_message(
        incarnation=incarnation, **{union_name: values}
    )
    packed: bytes = envelope.to_bytes_packed()
    return packed


def decode(packed: bytes) -> Received:
    """Read a message; raises ``WireError`` on anything that is none."""
    try:
        check_packed(packed)
        envelope = _SCHEMA.Envelope.from_bytes_packed(packed)
        shape = _BY_UNION_NAME[str(envelope.which())]
        struct = getattr(envelope, _UNION_NAMES[shape.cls])
        return Received(envelope.incarnation, _from_struct(struct, shape))
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise WireError(step="decode", peer="", reason=str(error)) from error


def _to_values(message: Any, shape: _Shape) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for name, capnp_name, entry_class in shape.fields:
        value = getattr(message, name)
        if entry_class is not None:
            entry_shape = _shape_of_entry(entry_class)
            value = [_to_values(entry, entry_shape) for entry in value]
        values[capnp_name] = value
    return values


def _from_struct(struct: Any, shape: _Shape) -> Any:
    values = []
    for _, capnp_name, entry_class in shape.fields:
        value = getattr(struct, capnp_name)
        if entry_class is not None:
            entry_shape = _shape_of_entry(entry_class)
            value = [_from_struct(entry, entry_shape) for entry in value]
        elif isinstance(value, capnp.lib.capnp._DynamicListReader):
            value = list(value)
        values.append(value)
    return shape.cls._make(values)


_ENTRY_SHAPES: dict[Any, _Shape] = {}


def _shape_of_entry(cls: Any) -> _Shape:
    if cls not in _ENTRY_SHAPES:
        _ENTRY_SHAPES[cls] = _shape_of(cls)
    return _ENTRY_SHAPES[cls]
