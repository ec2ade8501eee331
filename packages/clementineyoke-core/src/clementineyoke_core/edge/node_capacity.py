"""How many calls a second a host bears, by its processor and its link."""

from __future__ import annotations

CPU_MS_A_CALL = 5.0
"""Processor time of a call. One with a stream of 50 events takes 3.4 ms by the slopes
that were measured; the rest is for its share of the control traffic."""
LINK_KB_A_CALL = 12.0
"""What a call takes of the link in one direction: a long prompt is 12 kB, a stream of
50 events 10 kB with its framing."""
MAX_CALLS_PER_S = 0xFFFF
"""What fits the messages between nodes."""
MS_PER_S = 1000.0
KB_A_MBIT = 125.0


def capacity_calls_per_s(*, cpu_cores: float, link_mbps: float) -> int:
    """Return the calls a second that a host bears; 0 if either figure is not known."""
    by_processor = cpu_cores * MS_PER_S / CPU_MS_A_CALL
    by_link = link_mbps * KB_A_MBIT / LINK_KB_A_CALL
    return min(MAX_CALLS_PER_S, int(min(by_processor, by_link)))
