"""Answers of the store, taken apart object by object."""

from __future__ import annotations

import json
from typing import NamedTuple, TypeVar

import msgspec

from clementineyoke_node.platform.format_error import FormatError


class StoredEntry(NamedTuple):
    """One object of the store; its content is decoded by whoever knows its kind."""

    name: str
    revision: int
    spec: bytes
    """JSON as it came: what another writer put there may not be readable."""


class EntryChange(NamedTuple):
    """One event of a watch."""

    entry: StoredEntry
    is_deleted: bool


class EntryPage(NamedTuple):
    """One answer to a list call."""

    entries: list[StoredEntry]
    revision: int
    has_more: bool
    last_name: str
    """From which object's name the next page goes on."""
    unreadable: int
    """Objects that do not even say which one they are."""


class EntryChanges(NamedTuple):
    """What a watch saw, and from where to watch on."""

    changes: list[EntryChange]
    revision: int
    unreadable: int = 0


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


_Answer = TypeVar("_Answer", _Page, _Events)


def decode_page(content: bytes) -> EntryPage:
    """Decode an answer to a list call; raises ``FormatError``.

    Objects are decoded one by one. Decoded as a whole, one byte that cannot be read in
    one object hides all others, seen as a node that knows no runner.
    """
    page = _decode(content, _Page)
    entries = [entry for entry in map(_decode_item, page.items) if entry is not None]
    return EntryPage(
        entries=entries,
        revision=page.store_revision,
        has_more=page.more and bool(entries),
        last_name=entries[-1].name if entries else "",
        unreadable=len(page.items) - len(entries),
    )


def decode_events(content: bytes) -> EntryChanges:
    """Decode a watch's answer; raises ``FormatError``."""
    answer = _decode(content, _Events)
    changes = [
        change for change in map(_decode_event, answer.events) if change is not None
    ]
    unreadable = len(answer.events) - len(changes)
    return EntryChanges(changes, answer.store_revision, unreadable)


def _decode_event(raw: msgspec.Raw) -> EntryChange | None:
    try:
        event = msgspec.json.decode(raw, type=_Event)
    except ValueError:
        return None
    entry = _decode_item(event.object)
    return None if entry is None else EntryChange(entry, event.deleted)


def _decode_item(raw: msgspec.Raw) -> StoredEntry | None:
    """Return an object, or None for one that does not say which it is."""
    try:
        item = msgspec.json.decode(raw, type=_Item)
    except ValueError:
        return None
    return StoredEntry(item.metadata.name, item.metadata.revision, bytes(item.spec))


def _decode(content: bytes, kind: type[_Answer]) -> _Answer:
    try:
        return msgspec.json.decode(content, type=kind)
    except ValueError:
        return _decode_leniently(content, kind)


def _decode_leniently(content: bytes, kind: type[_Answer]) -> _Answer:
    """Read what strict JSON is not, as numbers that are none and control bytes."""
    try:
        document = json.loads(content.decode(errors="replace"), strict=False)
        return msgspec.json.decode(msgspec.json.encode(document), type=kind)
    except (ValueError, TypeError, RecursionError) as error:
        raise FormatError(
            step="decode_page", peer="store", reason=repr(error)
        ) from error
