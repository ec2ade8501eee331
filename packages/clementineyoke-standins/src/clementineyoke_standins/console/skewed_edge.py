"""Node process of the soak test, with a skewed wall clock."""

from __future__ import annotations

import os
import signal

SKEW_VARIABLE = "CLEMENTINEYOKE_SOAK_SKEW_S"
MS_PER_S = 1000


def main() -> None:
    """Run the node with its wall clock shifted by the seconds in ``SKEW_VARIABLE``."""
    # Like the product's entry point, before any import that takes long to load.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from clementineyoke_node.console import edge
    from clementineyoke_node.timers.timer_service import TimerService

    skew_ms = int(os.environ.get(SKEW_VARIABLE, "0")) * MS_PER_S
    read_wall_ms = TimerService.wall_ms
    TimerService.wall_ms = staticmethod(  # type: ignore[method-assign]
        lambda: read_wall_ms() + skew_ms
    )
    edge.main()


if __name__ == "__main__":
    main()
