"""Settings files of operators: JSON with comments, mapping paths to field values."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import json5

from clementineyoke_cli.admin_error import AdminError
from clementineyoke_core.settings.validation import find_violations


def read_settings_file(path: str) -> dict[str, dict[str, Any] | None]:
    """Read and validate a settings file.

    Raises ``AdminError`` with all violations in its details.
    """
    try:
        document = json5.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise AdminError(
            step="read", peer=path, reason=str(error), details=[]
        ) from error
    violations = find_violations(document)
    if violations:
        raise AdminError(
            step="validate",
            peer=path,
            reason=f"{len(violations)} errors; nothing was changed",
            details=[str(violation) for violation in violations],
        )
    edits: dict[str, dict[str, Any] | None] = document
    return edits
