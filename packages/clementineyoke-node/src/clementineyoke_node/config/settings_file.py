"""Notice that a node's settings file has changed, with a signal or without one."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

from clementineyoke_node.config.config_error import ConfigError
from clementineyoke_node.config.edge_config import EdgeConfig, load_edge_config
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable


START_ATTEMPTS = 50
START_PAUSE_S = 0.1
"""How often a node that starts reads a file that does not read as agreed, and the pause
between: a writer has five seconds to finish."""


def wait_for_config(
    path: str, *, attempts: int = START_ATTEMPTS, pause_s: float = START_PAUSE_S
) -> EdgeConfig:
    """Read the settings of a node that starts; raises ``ConfigError`` in the end.

    The file may be half written just then, as when a host is set up and its processes
    are started at once. Ending there costs a start more, seen as a host that is ready
    seconds after the others.
    """
    for _ in range(attempts - 1):
        try:
            return load_edge_config(path)
        except ConfigError as error:
            log_event(Event.SETTINGS_REFUSED, step=error.step, reason=error.reason)
            time.sleep(pause_s)
    return load_edge_config(path)


class SettingsFile:
    """Hold the settings in force; hand over those that a changed file brings.

    A file that does not read as agreed changes nothing: a node that ended itself for it
    would take callers down with it at each half-written file.
    """

    def __init__(
        self, *, path: str, config: EdgeConfig, on_change: Callable[[EdgeConfig], None]
    ) -> None:
        self._path = path
        self._config = config
        self._on_change = on_change
        self._written_ns = self._stat_ns()

    def reload(self) -> None:
        """Read the file anew."""
        self._written_ns = self._stat_ns()
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

    async def check(self) -> None:
        """Read the file anew if it was written since."""
        if self._stat_ns() != self._written_ns:
            self.reload()

    def _stat_ns(self) -> int:
        try:
            return Path(self._path).stat().st_mtime_ns
        except OSError:
            return 0  # being replaced; the next check sees the new one
