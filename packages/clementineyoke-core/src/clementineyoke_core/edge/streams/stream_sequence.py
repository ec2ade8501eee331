"""The order of a stream's events across the runners that produce it in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from clementineyoke_core.edge.streams.stream_steps import RunSteps


class StreamGapError(ValueError):
    """Raised when a runner may go on with a stream later than where it broke off."""

    def __init__(self, *, last_event_id: int, event_id: int | None) -> None:
        event = "an event without an id" if event_id is None else f"event {event_id}"
        super().__init__(f"goes on at {event} of a stream at {last_event_id}")


class StreamSequence:
    """Select the events that the caller does not have yet.

    A runner that goes on with a stream may repeat events that the caller has, but it
    may neither leave out any nor end before them. Ids need not be consecutive, so that
    a gap is only told where those of the pool's streams are, or, where another runner
    goes on, those of the stream have been.
    """

    def __init__(self, *, last_event_id: int | None) -> None:
        self.last_event_id = last_event_id
        """The id of the last event that the caller has."""
        self.has_position = True
        """Whether that event is the last one that was written; one without an id may
        have followed, which a runner that goes on could repeat."""
        self._accepted_id = last_event_id
        """The id of the last event that was selected for the caller."""
        self._resumed_at = last_event_id
        self._run_id: int | None = None
        """Id of the last event of the present run."""
        self._has_unit_steps = False
        self._has_other_steps = False
        self._written_steps = (False, False)
        """The two above when events were last written."""
        self._steps: RunSteps | None = None
        self._run_unit_steps = 0
        self._run_has_gaps = False

    @property
    def ends_early(self) -> bool:
        """Whether the present run has not come as far as the caller is."""
        if self._run_id is None or self._accepted_id is None:
            return False
        return self._run_id < self._accepted_id

    def begin_run(self, steps: RunSteps | None = None) -> None:
        """Record that another runner goes on with the stream.

        What the one before has sent, and the caller has not got, is expected again.
        ``steps`` are those of the pool's streams, if they are known.
        """
        self._steps = steps
        self._run_unit_steps = 0
        self._run_has_gaps = False
        if self._accepted_id != self.last_event_id:
            # Events that no caller got do not show how the stream goes on.
            self._has_unit_steps, self._has_other_steps = self._written_steps
        self._resumed_at = self._accepted_id = self.last_event_id
        self._run_id = None

    def accept(self, event_id: int | None) -> bool:
        """Return whether the caller lacks an event of the present run.

        The caller has it only after ``record_written``. Raises ``StreamGapError`` if
        the run has left out events, or goes on at an event without an id.
        """
        if event_id is None:
            if self._run_id is None and self._resumed_at is not None:
                raise StreamGapError(last_event_id=self._resumed_at, event_id=None)
            # It belongs to the event before it, which the caller may have.
            return not self.ends_early
        self._check_gap(event_id)
        if self._run_id is not None and event_id > self._run_id:
            is_unit = event_id == self._run_id + 1
            self._has_unit_steps |= is_unit
            self._has_other_steps |= not is_unit
            self._run_unit_steps += is_unit
        self._run_id = event_id
        if self._accepted_id is not None and event_id <= self._accepted_id:
            return False
        self._accepted_id = event_id
        return True

    def record_written(self, event_ids: Iterable[int | None]) -> None:
        """Record that accepted events were written to the caller."""
        for event_id in event_ids:
            self.has_position = event_id is not None
            if event_id is not None:
                self.last_event_id = event_id
        self._written_steps = (self._has_unit_steps, self._has_other_steps)

    def record_end(self) -> None:
        """Record that the present run has ended the stream as complete."""
        if self._steps is not None and not self._run_has_gaps:
            self._steps.record_whole(unit_steps=self._run_unit_steps)

    def _check_gap(self, event_id: int) -> None:
        last_id = self._accepted_id
        if last_id is None or event_id <= last_id + 1:
            return
        self._run_has_gaps = True
        is_fault = self._steps is not None and self._steps.refuses_gap()
        if is_fault or self._goes_on_too_far(last_id):
            raise StreamGapError(last_event_id=last_id, event_id=event_id)

    def _goes_on_too_far(self, last_id: int) -> bool:
        """Return whether a new run leaves out events of a stream that went by ones."""
        is_at_junction = last_id == self._resumed_at
        if self._run_id is not None and self._run_id >= last_id:
            is_at_junction = False
        return is_at_junction and self._has_unit_steps and not self._has_other_steps
