"""Pure decisions of the router fleet: no sockets, files, timers or clocks inside.

Times are milliseconds of a monotonic clock and are passed in, as is randomness.
"""

from __future__ import annotations
