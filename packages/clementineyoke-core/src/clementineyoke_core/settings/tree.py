"""The tree itself: own values by path, and what each path inherits."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from clementineyoke_core.settings.fields import FIELDS
from clementineyoke_core.settings.validation import parent_path

if TYPE_CHECKING:
    from clementineyoke_core.settings.validation import Edits, Values

DEFAULT_SOURCE = "default"
RESOLVED_CACHE_PATHS = 2_048


class Resolved(NamedTuple):
    """A value and the path that it comes from."""

    value: Any
    source: str


class SettingsTree:
    """Hold own values as packed bytes: 35,000 teams must fit in a node's budget."""

    def __init__(self) -> None:
        self._packed: dict[str, bytes] = {}
        self._cache: OrderedDict[str, dict[str, Resolved]] = OrderedDict()

    def apply(self, edits: Edits) -> None:
        """Replace the values of some paths; None removes a path."""
        for path, values in edits.items():
            if values is None:
                self._packed.pop(path, None)
            else:
                self._packed[path] = msgspec.msgpack.encode(values)
        self._cache.clear()

    def packed(self) -> dict[str, bytes]:
        """Return all own values as they are held, for a snapshot."""
        return dict(sorted(self._packed.items()))

    def replace(self, packed: dict[str, bytes]) -> None:
        """Take all own values from a snapshot."""
        self._packed = dict(packed)
        self._cache.clear()

    def own_values(self, path: str) -> Values | None:
        """Return what a path itself says, or None if it is not in the tree."""
        packed = self._packed.get(path)
        if packed is None:
            return None
        values: Values = msgspec.msgpack.decode(packed)
        return values

    def paths(self) -> list[str]:
        """Return every path that says something, sorted."""
        return sorted(self._packed)

    def resolve(self, path: str) -> dict[str, Resolved]:
        """Return each field's value at a path, with where it comes from."""
        cached = self._cache.get(path)
        if cached is not None:
            self._cache.move_to_end(path)
            return cached
        resolved = self._inherit(path)
        for name, value in (self.own_values(path) or {}).items():
            resolved[name] = Resolved(value, path)
        self._cache[path] = resolved
        if len(self._cache) > RESOLVED_CACHE_PATHS:
            self._cache.popitem(last=False)
        return resolved

    def value(self, path: str, name: str) -> Any:
        """Return one field's value at a path."""
        return self.resolve(path)[name].value

    def _inherit(self, path: str) -> dict[str, Resolved]:
        parent = parent_path(path)
        if parent is not None:
            return dict(self.resolve(parent))
        return {
            name: Resolved(field.default, DEFAULT_SOURCE)
            for name, field in FIELDS.items()
        }
