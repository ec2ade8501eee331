"""A node of the soak: the real program, with a time of day that is off."""

from __future__ import annotations

import os
import signal

SKEW_VARIABLE = "CLEMENTINEYOKE_SOAK_SKEW_S"
MS_PER_S = 1000


def main() -> None:
    """Shift the wall clock by what the soak says, and run the node."""
    # As the program's own entry does, before anything that takes time to load.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from clementineyoke_node.console import edge
    from clementineyoke_node.timers.timer_service import TimerService

    skew_ms = int(os.environ.get(SKEW_VARIABLE, "0")) * MS_PER_S
    true_ms = TimerService.wall_ms
    TimerService.wall_ms = staticmethod(  # type: ignore[method-assign]
        lambda: true_ms() + skew_ms
    )
    edge.main()


if __name__ == "__main__":
    main()
