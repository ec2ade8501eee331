"""Reloads a node's settings file on a signal or when the file changes."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

from clementineyoke_node.config.config_error import ConfigError
from clementineyoke_node.config.edge_config import EdgeConfig, load_edge_config
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable


MAX_START_ATTEMPTS = 50
START_RETRY_PAUSE_S = 0.1
"""Attempts of a starting node to read an invalid settings file, and the pause between
them: a writer has five seconds to finish."""


def load_config_with_retries(
    path: str,
    *,
    max_attempts: int = MAX_START_ATTEMPTS,
    retry_pause_s: float = START_RETRY_PAUSE_S,
) -> EdgeConfig:
    """Read the settings at startup; raises ``ConfigError`` after the last attempt.

    The file may be partially written when a host is set up and its processes are
    started at the same time. If the node exited then, the additional start would make
    the host ready seconds after the others.
    """
    for _ in range(max_attempts - 1):
        try:
            return load_edge_config(path)
        except ConfigError as error:
            log_event(Event.SETTINGS_REFUSED, step=error.step, reason=error.reason)
            time.sleep(retry_pause_s)
    return load_edge_config(path)


class ConfigFile:
    """Own the settings in force and report those of a changed file.

    An invalid file changes nothing: if the node exited on it, every partially written
    file would disconnect callers.
    """

    def __init__(
        self, *, path: str, config: EdgeConfig, on_change: Callable[[EdgeConfig], None]
    ) -> None:
        self._path = path
        self._config = config
        self._on_change = on_change
        self._modified_ns = self._read_modified_ns()

    def reload(self) -> None:
        """Reload the file and report changed settings."""
        self._modified_ns = self._read_modified_ns()
        try:
            config = load_edge_config(self._path)
        except ConfigError as error:
            log_event(Event.SETTINGS_REFUSED, step=error.step, reason=error.reason)
            return
        changed = config != self._config
        log_event(Event.NODE_RELOADED, changed=changed)
        if changed:
            self._config = config
            self._on_change(config)

    async def reload_if_modified(self) -> None:
        """Reload the file if it was modified since it was last read."""
        if self._read_modified_ns() != self._modified_ns:
            self.reload()

    def _read_modified_ns(self) -> int:
        try:
            return Path(self._path).stat().st_mtime_ns
        except OSError:
            return 0  # the file is being replaced; the next check reads it
