"""Decodes the store's responses object by object."""

from __future__ import annotations

import json
import re
from contextlib import suppress
from typing import NamedTuple, TypeVar

import msgspec

from clementineyoke_node.platform.format_error import FormatError

ARRAY_DEPTH = 2
"""Depth of nesting within the array of a response's objects."""
_STRUCTURE = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{},]', re.DOTALL)


class StoredEntry(NamedTuple):
    """One object of the store; its content is decoded by kind elsewhere."""

    name: str
    revision: int
    spec: bytes
    """JSON as received; content from other writers may be malformed."""


class EntryChange(NamedTuple):
    """One event of a watch."""

    entry: StoredEntry
    is_deleted: bool


class EntryPage(NamedTuple):
    """One page of a list."""

    entries: list[StoredEntry]
    revision: int
    has_more: bool
    last_name: str
    """Name of the last object, after which the next page starts."""
    unreadable_count: int
    """Number of objects without a readable name and revision."""


class EntryChanges(NamedTuple):
    """Changes that a watch returned, and the revision for the next watch."""

    changes: list[EntryChange]
    revision: int
    unreadable_count: int = 0


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Item(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="camel"):
    items: list[msgspec.Raw]
    store_revision: int
    more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct, rename="camel"):
    events: list[msgspec.Raw]
    store_revision: int


_Document = TypeVar("_Document", _Page, _Events)
_Element = TypeVar("_Element", _Item, _Event)


def decode_page(content: bytes) -> EntryPage:
    """Decode the response to a list call; raises ``FormatError``.

    Objects are decoded one by one. If the page were decoded as a whole, one malformed
    byte in one object would hide all others, and the node would know no runner.
    """
    page = _decode(content, _Page, array="items")
    entries = [entry for entry in map(_decode_item, page.items) if entry is not None]
    return EntryPage(
        entries=entries,
        revision=page.store_revision,
        has_more=page.more and bool(entries),
        last_name=entries[-1].name if entries else "",
        unreadable_count=len(page.items) - len(entries),
    )


def decode_events(content: bytes) -> EntryChanges:
    """Decode the response to a watch; raises ``FormatError``."""
    document = _decode(content, _Events, array="events")
    changes = [
        change for change in map(_decode_event, document.events) if change is not None
    ]
    unreadable = len(document.events) - len(changes)
    return EntryChanges(changes, document.store_revision, unreadable)


def _decode_event(raw: bytes) -> EntryChange | None:
    event = _decode_element(raw, _Event)
    entry = None if event is None else _decode_item(event.object)
    return None if event is None or entry is None else EntryChange(entry, event.deleted)


def _decode_item(raw: bytes) -> StoredEntry | None:
    """Return an object, or None if its name or revision cannot be read."""
    item = _decode_element(raw, _Item)
    if item is None:
        return None
    return StoredEntry(item.metadata.name, item.metadata.revision, bytes(item.spec))


def _decode_element(raw: bytes, kind: type[_Element]) -> _Element | None:
    with suppress(ValueError, RecursionError):
        return msgspec.json.decode(raw, type=kind)
    with suppress(ValueError, TypeError, RecursionError):
        return msgspec.json.decode(_to_strict(bytes(raw)), type=kind)
    return None


def _to_strict(raw: bytes) -> bytes:
    """Return JSON that the strict parser accepts.

    It rejects NaN, control characters, bytes that are no UTF-8 and halves of surrogate
    pairs. Raises ``ValueError`` or ``RecursionError`` for what is no JSON either.
    """
    document = json.loads(raw.decode(errors="replace"), strict=False)
    text = json.dumps(document, ensure_ascii=False).encode(errors="replace")
    return msgspec.json.encode(json.loads(text))


def _decode(content: bytes, kind: type[_Document], *, array: str) -> _Document:
    """Decode a response whose elements are in ``array``, and leave these as they are.

    Elements that the strict parser rejects are told apart without it.
    """
    try:
        with suppress(ValueError, RecursionError):
            return msgspec.json.decode(content, type=kind)
        frame, elements = _split_array(content, array)
        document = msgspec.json.decode(frame, type=kind)
    except ValueError as error:
        raise FormatError(
            step="decode_page", peer="store", reason=repr(error)
        ) from error
    getattr(document, array).extend(map(msgspec.Raw, elements))
    return document


def _split_array(content: bytes, name: str) -> tuple[bytes, list[bytes]]:
    """Return a JSON object with a field's array emptied, and the array's elements.

    It works at any depth of nesting. Raises ``ValueError`` if there is no such array.
    """
    key = f'"{name}"'.encode()
    depth, last_string, begin, element = 0, b"", 0, 0
    elements: list[bytes] = []
    for token in _STRUCTURE.finditer(content):
        mark = token.group()
        if mark[:1] == b'"':
            last_string = mark if depth == 1 else last_string
        elif mark in b"{[":
            depth += 1
            if depth == ARRAY_DEPTH and mark == b"[" and last_string == key:
                begin = element = token.end()
        elif mark == b",":
            if begin and depth == ARRAY_DEPTH:
                elements.append(content[element : token.start()])
                element = token.end()
        else:
            depth -= 1
            if begin and depth < ARRAY_DEPTH:
                elements.append(content[element : token.start()])
                frame = content[:begin] + content[token.start() :]
                return frame, [item for item in elements if item.strip()]
    message = f"the response has no whole array {name!r}"
    raise ValueError(message)
