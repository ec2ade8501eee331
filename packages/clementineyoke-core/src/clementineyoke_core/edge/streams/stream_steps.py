"""Whether the ids of a pool's streams go by ones, as its streams have shown."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

MIN_UNIT_RUNS = 10
MIN_RUNNERS = 2
MIN_RUN_STEPS = 2
"""A run of fewer steps does not tell how its ids go."""


class StreamSteps:
    """The steps between the ids of one pool's streams.

    Ids increase, and need not be consecutive. A pool's go by ones if whole streams of
    several runners did, and no more than one runner, which may be faulty, ever left
    out ids. Others are left alone for good.
    """

    def __init__(self) -> None:
        self._unit_runs = 0
        self._unit_runners: set[str] = set()
        self._gap_runners: set[str] = set()

    def record_whole_run(self, runner_id: str, *, unit_steps: int) -> None:
        """Record that a runner ended a stream, with steps of one in its part."""
        if unit_steps < MIN_RUN_STEPS:
            return
        self._unit_runs = min(self._unit_runs + 1, MIN_UNIT_RUNS)
        if len(self._unit_runners) < MIN_RUNNERS:
            self._unit_runners.add(runner_id)

    def refuses_gap(self, runner_id: str) -> bool:
        """Record that a runner left out ids; return whether that is a fault.

        If a second runner does, the pool's ids do not go by ones.
        """
        if len(self._gap_runners) < MIN_RUNNERS:
            self._gap_runners.add(runner_id)
        return (
            self._unit_runs >= MIN_UNIT_RUNS
            and len(self._unit_runners) >= MIN_RUNNERS
            and len(self._gap_runners) < MIN_RUNNERS
        )


class RunSteps(NamedTuple):
    """The steps of a pool's streams, for the part of a stream that a runner sends."""

    steps: StreamSteps
    runner_id: str

    def record_whole(self, *, unit_steps: int) -> None:
        """Record that the runner ended the stream and left out no ids."""
        self.steps.record_whole_run(self.runner_id, unit_steps=unit_steps)

    def refuses_gap(self) -> bool:
        """Record that the runner left out ids; return whether that is a fault."""
        return self.steps.refuses_gap(self.runner_id)


class PoolSteps:
    """The steps of the streams of all pools."""

    def __init__(self) -> None:
        self._steps: defaultdict[str, StreamSteps] = defaultdict(StreamSteps)

    def begin_run(self, pool: str, runner_id: str) -> RunSteps:
        """Return what is known for a part of a stream that a runner sends."""
        return RunSteps(self._steps[pool], runner_id)
