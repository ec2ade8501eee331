"""Up to which load a call may follow its prompt to the runner that holds it."""

from __future__ import annotations

NO_PROMPT_CAP_SHARE = 0.8
"""Of the operator's cap, for calls without a prompt; the rest is for grants that two
homes give at once."""
CHEAP_SHARE = 0.6
"""For the shortest prompts: they are read elsewhere in a few ms."""
LONG_PROMPT_CAP_SHARE = 0.95
"""For long prompts. What is left of the cap is for grants that two homes give at once;
the operator's rule on load held in all plays that compared this with 0.8."""
DEAR_TOKENS = 3_000
"""Prompts from this length on are dear. With 96 kB of memory a token and 92 tokens read
in a ms, as engines were seen to have, moving one takes 0.3 GB and reading it 33 ms."""


def load_cap_share(prompt_tokens: int) -> float:
    """Return the share of the operator's cap up to which a call may go.

    A runner at its bound turns calls away in the order of their arrival. Most that
    arrive are short and hold their slots long, so they fill it, and long prompts are
    read elsewhere for want of a slot: each costs ten times what a short one costs. With
    a lower bound for cheap calls, these give way while there is room for dear ones.
    """
    if not prompt_tokens:
        return NO_PROMPT_CAP_SHARE
    dearness = min(1.0, prompt_tokens / DEAR_TOKENS)
    return CHEAP_SHARE + (LONG_PROMPT_CAP_SHARE - CHEAP_SHARE) * dearness
