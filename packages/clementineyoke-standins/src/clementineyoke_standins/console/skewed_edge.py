"""Node process of the soak test, with a wall clock that can be stepped."""

from __future__ import annotations

import os
import signal
from pathlib import Path

SKEW_FILE_VARIABLE = "CLEMENTINEYOKE_SOAK_SKEW_FILE"
MS_PER_S = 1000


def main() -> None:
    """Run the node with its wall clock shifted by the seconds in a file.

    ``SKEW_FILE_VARIABLE`` names the file, which is read at each reading of the clock.
    """
    # Like the product's entry point, before any import that takes long to load.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from clementineyoke_node.console import edge
    from clementineyoke_node.timers.timer_service import TimerService

    skew_file = Path(os.environ[SKEW_FILE_VARIABLE])
    read_wall_ms = TimerService.wall_ms
    TimerService.wall_ms = staticmethod(  # type: ignore[method-assign]
        lambda: read_wall_ms() + round(float(skew_file.read_text()) * MS_PER_S)
    )
    edge.main()


if __name__ == "__main__":
    main()
