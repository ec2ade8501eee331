"""Call rate that a host can sustain, from its CPU cores and its network link."""

from __future__ import annotations

CPU_MS_PER_CALL = 5.0
"""CPU time per call. A call with a stream of 50 events takes 3.4 ms; the rest is its
share of the control traffic."""
LINK_KB_PER_CALL = 12.0
"""Traffic per call in one direction of the link: a long prompt has 12 kB, a stream of
50 events 10 kB with its framing."""
MAX_CALLS_PER_S = 0xFFFF
"""Maximum of the 16-bit field in the messages between nodes."""
MS_PER_S = 1000.0
KB_PER_MBIT = 125.0


def capacity_calls_per_s(*, cpu_cores: float, link_mbps: float) -> int:
    """Return the call rate that a host can sustain; 0 if either figure is unknown."""
    max_by_cpu = cpu_cores * MS_PER_S / CPU_MS_PER_CALL
    max_by_link = link_mbps * KB_PER_MBIT / LINK_KB_PER_CALL
    return min(MAX_CALLS_PER_S, int(min(max_by_cpu, max_by_link)))
