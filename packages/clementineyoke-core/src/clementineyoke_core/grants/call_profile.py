"""What a home node knows of a call that needs a slot."""

from __future__ import annotations

from typing import NamedTuple


class PromptCost(NamedTuple):
    """Size of a call's work on a model engine, in tokens."""

    key: int = 0
    """Hash of the prompt's shared parts; 0 for a call without a prompt."""
    shared_tokens: int = 0
    """Prompt tokens that a runner may have in its cache from earlier calls."""
    own_tokens: int = 0
    """Prompt tokens that are new in this call."""
    output_tokens: int = 0
    """Expected length of the output."""

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt."""
        return self.shared_tokens + self.own_tokens

    @property
    def total_tokens(self) -> int:
        """Return the memory that the call takes on its runner."""
        return self.prompt_tokens + self.output_tokens


NO_PROMPT = PromptCost()


class CallProfile(NamedTuple):
    """Urgency and size of a call."""

    team: int = 0
    """Hash of the team's path; queues are served round-robin over teams."""
    priority: int = 0
    """0 is the most urgent."""
    objective_ms: int = 0
    """Latency objective; 0 if the requester did not describe the call.

    Nodes of an earlier release do not describe their calls. Rules that depend on the
    priority or the prompt grant such calls.
    """
    prompt: PromptCost = NO_PROMPT
    is_resumption: bool = False
    """Whether only runners of one of the pool's versions may serve the call."""

    @property
    def is_described(self) -> bool:
        """Return whether priority, objective and prompt are known."""
        return self.objective_ms > 0


UNDESCRIBED = CallProfile()
