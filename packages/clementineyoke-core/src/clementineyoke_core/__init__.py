"""Decision logic of the router fleet, without sockets, files, timers or clocks.

Times are milliseconds of a monotonic clock and are passed in, as is randomness.
"""

from __future__ import annotations
