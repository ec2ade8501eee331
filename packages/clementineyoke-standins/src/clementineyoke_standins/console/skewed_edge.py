"""A node of the soak: the real program, with a time of day that is off."""

from __future__ import annotations

import os

from clementineyoke_node.console import edge
from clementineyoke_node.timers.timer_service import TimerService
from clementineyoke_standins.soak.node_process import SKEW_VARIABLE

MS_PER_S = 1000


def main() -> None:
    """Shift the wall clock by what the soak says, and run the node."""
    skew_ms = int(os.environ.get(SKEW_VARIABLE, "0")) * MS_PER_S
    true_ms = TimerService.wall_ms
    TimerService.wall_ms = staticmethod(  # type: ignore[method-assign]
        lambda: true_ms() + skew_ms
    )
    edge.main()


if __name__ == "__main__":
    main()
