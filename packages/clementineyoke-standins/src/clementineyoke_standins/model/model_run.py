"""Check each specification, and that the model checker rejects each mutation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from minicheck import check_safety

from clementineyoke_standins.model import (
    answer_ends_spec,
    brittle_grants_spec,
    claims_roll_spec,
    claims_spec,
    cold_grants_spec,
    crash_factors_spec,
    crash_records_spec,
    evacuations_spec,
    failover_spec,
    forwarded_calls_spec,
    reach_reports_spec,
    runner_entries_spec,
    runner_lifetimes_spec,
    runner_restarts_spec,
    runner_signals_spec,
    settings_spec,
    stream_archive_spec,
    stream_positions_spec,
    stream_versions_spec,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_STATES = 2_000_000
SPECS: tuple[Any, ...] = (
    claims_spec,
    claims_roll_spec,
    settings_spec,
    runner_entries_spec,
    runner_lifetimes_spec,
    runner_restarts_spec,
    cold_grants_spec,
    crash_factors_spec,
    crash_records_spec,
    evacuations_spec,
    runner_signals_spec,
    failover_spec,
    forwarded_calls_spec,
    reach_reports_spec,
    brittle_grants_spec,
    stream_versions_spec,
    stream_archive_spec,
    stream_positions_spec,
    answer_ends_spec,
)


class ModelResult(NamedTuple):
    """Result of checking one specification or mutation."""

    name: str
    states: int
    is_proved: bool
    broken: list[str]
    trace: list[str]
    """Step labels of the shortest counterexample."""


def check_all() -> Iterator[tuple[ModelResult, bool]]:
    """Yield each result and whether it is as expected.

    A specification must be proved, and a mutation must break an invariant.
    """
    for spec in SPECS:
        name = spec.__name__.rsplit(".", 1)[1]
        result = _check(name, spec.build(spec.Guards()))
        yield result, result.is_proved
        for mutation in spec.MUTATIONS:
            mutated = check_mutation(spec, mutation)
            yield mutated, bool(mutated.broken)


def check_mutation(spec: Any, mutation: str) -> ModelResult:
    """Check a specification with one guard disabled."""
    name = spec.__name__.rsplit(".", 1)[1]
    return _check(f"{name}: {mutation}", spec.build(spec.MUTATIONS[mutation]))


def _check(name: str, protocol: Any) -> ModelResult:
    report = check_safety(protocol, max_states=MAX_STATES)
    properties = report["properties"]
    broken = [key for key, found in properties.items() if found["holds"] is False]
    is_proved = all(found["holds"] is True for found in properties.values())
    trace: list[str] = []
    if broken:
        steps = properties[broken[0]]["counterexample"]
        trace = [str(step["label"]) for step in steps[1:]]
    return ModelResult(name, int(report["reachable_states"]), is_proved, broken, trace)
