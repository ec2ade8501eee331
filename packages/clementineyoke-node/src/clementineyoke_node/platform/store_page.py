"""Decodes the store's responses object by object."""

from __future__ import annotations

import json
from typing import NamedTuple, TypeVar

import msgspec

from clementineyoke_node.platform.format_error import FormatError


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


def decode_page(content: bytes) -> EntryPage:
    """Decode the response to a list call; raises ``FormatError``.

    Objects are decoded one by one. If the page were decoded as a whole, one malformed
    byte in one object would hide all others, and the node would know no runner.
    """
    page = _decode(content, _Page)
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
    document = _decode(content, _Events)
    changes = [
        change for change in map(_decode_event, document.events) if change is not None
    ]
    unreadable = len(document.events) - len(changes)
    return EntryChanges(changes, document.store_revision, unreadable)


def _decode_event(raw: msgspec.Raw) -> EntryChange | None:
    try:
        event = msgspec.json.decode(raw, type=_Event)
    except ValueError:
        return None
    entry = _decode_item(event.object)
    return None if entry is None else EntryChange(entry, event.deleted)


def _decode_item(raw: msgspec.Raw) -> StoredEntry | None:
    """Return an object, or None if its name or revision cannot be read."""
    try:
        item = msgspec.json.decode(raw, type=_Item)
    except ValueError:
        return None
    return StoredEntry(item.metadata.name, item.metadata.revision, bytes(item.spec))


def _decode(content: bytes, kind: type[_Document]) -> _Document:
    try:
        return msgspec.json.decode(content, type=kind)
    except ValueError:
        return _decode_leniently(content, kind)


def _decode_leniently(content: bytes, kind: type[_Document]) -> _Document:
    """Decode JSON that the strict parser rejects, as with NaN or control characters."""
    try:
        document = json.loads(content.decode(errors="replace"), strict=False)
        return msgspec.json.decode(msgspec.json.encode(document), type=kind)
    except (ValueError, TypeError, RecursionError) as error:
        raise FormatError(
            step="decode_page", peer="store", reason=repr(error)
        ) from error
