"""Decodes the store's responses object by object."""

from __future__ import annotations

import json
import re
from contextlib import suppress
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec

from clementineyoke_node.platform.format_error import FormatError

if TYPE_CHECKING:
    from collections.abc import Iterator

MEMBER_DEPTH = 1
"""Depth of nesting within an object, where the keys of its members are."""
ARRAY_DEPTH = 2
"""Depth of nesting within the array of a response's objects."""
UNREADABLE_SPEC = b"null"
MAX_LENIENT_BYTES = 65_536
"""Larger objects that the strict parser rejects are not parsed in any other way, which
takes a second for a megabyte."""
_STRING = rb'"(?:[^"\\]++|\\.)*+"'
"""Possessive: backtracking would take a hundred bytes for each of the string."""
_TEXT = rb'[^][{}"]++|' + _STRING
"""What is neither a bracket nor a part of an unfinished string."""
BALANCED_LEVELS = 8
"""Levels of nesting that are skipped in one step; deeper ones take a step a bracket."""
_STRUCTURE = re.compile(_STRING + rb'|[][{},"]', re.DOTALL)


def _skip_pattern() -> re.Pattern[bytes]:
    """Return a pattern of text and balanced brackets, and the next run of brackets."""
    skipped = _TEXT
    for _ in range(BALANCED_LEVELS):
        skipped = _TEXT + rb"|[\[{](?:" + skipped + rb")*+[\]}]"
    plain = rb"(?:" + _TEXT + rb")*+"
    run = rb"(?:[\[{]++" + plain + rb")++|(?:[\]}]++" + plain + rb')++|"'
    return re.compile(rb"(?:" + skipped + rb")*+(" + run + rb")", re.DOTALL)


_SKIPPED = _skip_pattern()
_QUOTED = re.compile(_STRING, re.DOTALL)
_BRACKET = re.compile(_STRING + rb"|([][{}])", re.DOTALL)


class StoredEntry(NamedTuple):
    """One object of the store; its content is decoded by kind elsewhere."""

    name: str
    revision: int
    spec: bytes
    """JSON as received; content from other writers may be malformed. ``null`` if no
    parser reads the object."""


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
_Element = TypeVar("_Element", _Item, _Event, _Metadata)


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
    if event is None:
        content = _find_member(raw, "object")
        rest = bytes(raw).replace(content, UNREADABLE_SPEC, 1) if content else b""
        event = _decode_element(rest, _Event)
        if event is None:
            return None
        event.object = msgspec.Raw(content)
    entry = _decode_item(event.object)
    return None if entry is None else EntryChange(entry, event.deleted)


def _decode_item(raw: bytes) -> StoredEntry | None:
    """Return an object, or None if its name or revision cannot be read.

    An object that no parser reads still has its name: the runner that it replaces is no
    longer described.
    """
    item = _decode_element(raw, _Item)
    if item is not None:
        return StoredEntry(item.metadata.name, item.metadata.revision, bytes(item.spec))
    metadata = _decode_element(_find_member(raw, "metadata"), _Metadata)
    if metadata is None:
        return None
    return StoredEntry(metadata.name, metadata.revision, UNREADABLE_SPEC)


def _decode_element(raw: bytes, kind: type[_Element]) -> _Element | None:
    with suppress(ValueError, RecursionError):
        return msgspec.json.decode(raw, type=kind)
    if len(raw) > MAX_LENIENT_BYTES:
        return None
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


def _find_member(raw: bytes, name: str) -> bytes:
    """Return the object or array that is a member of a JSON object; empty if none is.

    It works at any depth of nesting, and without parsing the other members.
    """
    content = bytes(raw)
    key, last_string, begin = f'"{name}"'.encode(), b"", 0
    for mark, start, depth in _walk(content, max_depth=MEMBER_DEPTH):
        if mark[:1] == b'"':
            last_string = mark
        elif mark in b"{[" and depth == MEMBER_DEPTH + 1 and last_string == key:
            begin = start
        elif mark in b"}]" and depth == MEMBER_DEPTH and begin:
            return content[begin : start + 1]
    return b""


def _split_array(content: bytes, name: str) -> tuple[bytes, list[bytes]]:
    """Return a JSON object with a field's array emptied, and the array's elements.

    It works at any depth of nesting. Raises ``ValueError`` if there is no such array.
    """
    key, last_string, begin, element = f'"{name}"'.encode(), b"", 0, 0
    elements: list[bytes] = []
    for mark, start, depth in _walk(content, max_depth=ARRAY_DEPTH):
        if mark[:1] == b'"':
            last_string = mark if depth == MEMBER_DEPTH else last_string
        elif mark in b"{[":
            if depth == ARRAY_DEPTH and mark == b"[" and last_string == key:
                begin = element = start + 1
        elif mark == b",":
            if begin and depth == ARRAY_DEPTH:
                elements.append(content[element:start])
                element = start + 1
        elif begin and depth < ARRAY_DEPTH:
            elements.append(content[element:start])
            frame = content[:begin] + content[start:]
            return frame, [item for item in elements if item.strip()]
    message = f"the response has no whole array {name!r}"
    raise ValueError(message)


def _walk(content: bytes, *, max_depth: int) -> Iterator[tuple[bytes, int, int]]:
    """Yield strings, brackets and commas, where they start, and the depth after each.

    What is nested deeper than ``max_depth`` is skipped but for its outermost brackets.
    It ends at a string that has no end.
    """
    depth = position = 0
    while True:
        is_skipped = depth > max_depth
        if is_skipped:
            token = _SKIPPED.match(content, position)
        else:
            token = _STRUCTURE.search(content, position)
        if token is None:
            return
        group = token.re.groups
        mark, start, position = token.group(group), token.start(group), token.end()
        if mark == b'"':
            return
        if mark[:1] in b"{[":
            depth += _count_brackets(mark) if is_skipped else 1
        elif mark[:1] in b"}]":
            closed = _count_brackets(mark) if is_skipped else 1
            if is_skipped and closed >= depth - max_depth:
                # The rest of a run may end what is not skipped.
                start += _find_bracket(mark, depth - max_depth)
                depth, position = max_depth, start + 1
                yield content[start:position], start, depth
                continue
            depth -= closed
        if not is_skipped:
            yield mark, start, depth


def _count_brackets(run: bytes) -> int:
    if not run.strip(b"[{]}"):
        return len(run)
    plain = _QUOTED.sub(b"", run) if b'"' in run else run
    return sum(map(plain.count, (b"[", b"{", b"]", b"}")))


def _find_bracket(run: bytes, number: int) -> int:
    """Return where a closing bracket is in a run; the first one has the number 1."""
    if not run[:number].strip(b"]}"):
        return number - 1
    brackets = (token.start() for token in _BRACKET.finditer(run) if token.group(1))
    return next(islice(brackets, number - 1, None))
