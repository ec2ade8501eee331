"""Operators' settings files: JSON with comments, a document of path to values."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import json5

from clementineyoke_cli.admin_error import AdminError
from clementineyoke_core.settings.validation import find_violations


def read_settings_file(path: str) -> dict[str, dict[str, Any] | None]:
    """Return a checked document; raises ``AdminError`` that names every fault."""
    try:
        document = json5.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise AdminError(
            step="read", peer=path, reason=str(error), details=[]
        ) from error
    faults = find_violations(document)
    if faults:
        raise AdminError(
            step="validate",
            peer=path,
            reason=f"{len(faults)} faults; nothing was changed",
            details=[str(fault) for fault in faults],
        )
    checked: dict[str, dict[str, Any] | None] = document
    return checked
