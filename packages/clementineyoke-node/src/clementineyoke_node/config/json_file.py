"""Reads files of JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import json5

from clementineyoke_node.config.config_error import ConfigError


def read_json(path: str) -> Any:
    """Return the parsed content of a file; raises ``ConfigError``."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        return json5.loads(text)
    except (OSError, ValueError) as error:
        raise ConfigError(step="read", source=path, reason=str(error)) from error
