"""Settings tree: own values by path, and inherited values."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from clementineyoke_core.settings.fields import FIELDS
from clementineyoke_core.settings.validation import parent_path

if TYPE_CHECKING:
    from clementineyoke_core.settings.validation import Edits, Values

DEFAULT_SOURCE = "default"
MAX_CACHED_PATHS = 2_048


class Resolved(NamedTuple):
    """A value and the path that defines it."""

    value: Any
    source: str


class SettingsTree:
    """Own values by path, encoded, so that 35,000 teams fit into a node's memory."""

    def __init__(self) -> None:
        self._packed: dict[str, bytes] = {}
        self._cache: OrderedDict[str, dict[str, Resolved]] = OrderedDict()

    def apply(self, edits: Edits) -> None:
        """Replace the values of the given paths; None removes a path."""
        for path, values in edits.items():
            if values is None:
                self._packed.pop(path, None)
            else:
                self._packed[path] = msgspec.msgpack.encode(values)
        self._cache.clear()

    def packed(self) -> dict[str, bytes]:
        """Return all own values, encoded, for a snapshot."""
        return dict(sorted(self._packed.items()))

    def replace(self, packed: dict[str, bytes]) -> None:
        """Replace all own values by those of a snapshot."""
        self._packed = dict(packed)
        self._cache.clear()

    def own_values(self, path: str) -> Values | None:
        """Return the values set at a path itself, or None if it is not in the tree."""
        packed = self._packed.get(path)
        if packed is None:
            return None
        values: Values = msgspec.msgpack.decode(packed)
        return values

    def paths(self) -> list[str]:
        """Return all paths in the tree, sorted."""
        return sorted(self._packed)

    def resolve(self, path: str) -> dict[str, Resolved]:
        """Return each field's value at a path, own or inherited, with its source."""
        cached = self._cache.get(path)
        if cached is not None:
            self._cache.move_to_end(path)
            return cached
        resolved = self._inherit(path)
        for name, value in (self.own_values(path) or {}).items():
            resolved[name] = Resolved(value, path)
        self._cache[path] = resolved
        if len(self._cache) > MAX_CACHED_PATHS:
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
