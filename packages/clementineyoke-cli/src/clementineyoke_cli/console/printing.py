"""Output of results as plain text or JSON."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from clementineyoke_cli.admin_error import AdminError


def print_result(result: Any, *, as_json: bool) -> None:
    """Print a result as indented JSON, or as one line per leaf value."""
    if as_json:
        print(json.dumps(result, indent=2))
        return
    for line in _to_lines(result, ""):
        print(line)


def print_error(error: AdminError) -> None:
    """Print an error and its details to standard error."""
    print(f"error: {error}", file=sys.stderr)
    for detail in error.details:
        print(f"  {detail}", file=sys.stderr)


def _to_lines(value: Any, name: str) -> list[str]:
    if isinstance(value, dict) and value:
        lines = []
        for key, entry in value.items():
            lines.extend(_to_lines(entry, f"{name}.{key}" if name else str(key)))
        return lines
    if isinstance(value, list) and any(isinstance(v, (dict, list)) for v in value):
        lines = []
        for index, entry in enumerate(value):
            lines.extend(_to_lines(entry, f"{name}[{index}]"))
        return lines
    return [f"{name}: {value}"]
