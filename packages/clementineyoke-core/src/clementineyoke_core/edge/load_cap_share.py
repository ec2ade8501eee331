"""Load up to which a call is routed to the runner that has its prompt cached."""

from __future__ import annotations

NO_PROMPT_CAP_SHARE = 0.8
"""Share of the operator's load cap for calls without a prompt. The rest of the cap is a
reserve for slots that two home nodes grant at the same time."""
SHORT_PROMPT_CAP_SHARE = 0.6
"""Share for the shortest prompts: another runner computes them within a few ms."""
LONG_PROMPT_CAP_SHARE = 0.95
"""Share for long prompts. The rest of the cap is a reserve for slots that two home
nodes grant at the same time, large enough to keep to the operator's cap."""
LONG_PROMPT_TOKENS = 3_000
"""Prompts of at least this length count as long. At 96 kB of cache per token and a
prefill rate of 92 tokens per ms, such a prompt takes 0.3 GB to move and 33 ms to
compute."""


def load_cap_share(prompt_tokens: int) -> float:
    """Return the share of the operator's load cap up to which a runner takes a call.

    Calls are accepted in order of arrival until a runner is at its load bound; further
    ones are rejected. Most calls have short prompts and hold their slots for long, so
    they fill the runner, and long prompts are computed again on other runners at ten
    times the cost of a short one. With a lower bound for short prompts, these go to
    other runners while there is still room for long ones.
    """
    if not prompt_tokens:
        return NO_PROMPT_CAP_SHARE
    length_share = min(1.0, prompt_tokens / LONG_PROMPT_TOKENS)
    return (
        SHORT_PROMPT_CAP_SHARE
        + (LONG_PROMPT_CAP_SHARE - SHORT_PROMPT_CAP_SHARE) * length_share
    )
