"""Result table of the demo, with a line for each guarantee and measurement."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_standins.demo.demo_scenario import MAX_LEAVE_S
from clementineyoke_standins.demo.runner_stats import count_executions

if TYPE_CHECKING:
    from clementineyoke_standins.demo.demo_scenario import DemoResult

MAX_SETTINGS_S = 7.0
MAX_CONTROL_BYTES_PER_S = 5_000.0


class ReportLine(NamedTuple):
    """A line of the table: name, value and whether the guarantee was met."""

    name: str
    value: str
    is_met: bool | None
    """None if the line has no guarantee."""


def make_lines(result: DemoResult) -> list[ReportLine]:
    """Return the lines of the table, numbered by guarantee."""
    tally = result.tally
    outcomes = tally.outcomes
    executions = count_executions(result.runner_stats)
    duplicates = sum(1 for count in executions.values() if count > 1)
    false_not_run = sum(1 for mark in tally.not_run_marks if executions.get(mark))
    cut_at_stop = tally.cut_streams_by_node[result.stopped_address]
    unexpected_cuts = sum(
        count
        for address, count in tally.cut_streams_by_node.items()
        if address not in (result.stopped_address, result.killed_address)
    )
    last_start_s = max(0.0, result.last_start_after_leave_s)
    in_force_s = result.settings_in_force_s
    control_rates = _control_bytes_per_s(result)
    return [
        ReportLine("chats completed", str(outcomes["chat_whole"]), None),
        ReportLine("score posts executed", str(outcomes["post_ran"]), None),
        ReportLine("all outcomes", _format_counts(outcomes), None),
        ReportLine("p50 / p95 of a completed chat", _format_latency(result), None),
        ReportLine("1 highest peak over mean peak", _format_skew(result), None),
        ReportLine(
            "2 mixed-up responses",
            str(tally.mixed_up_responses),
            tally.mixed_up_responses == 0,
        ),
        ReportLine(
            "2 streams cut, except by the kill",
            str(unexpected_cuts),
            unexpected_cuts == 0,
        ),
        ReportLine('3 false "not run"', str(false_not_run), false_not_run == 0),
        ReportLine("4 duplicate executions", str(duplicates), duplicates == 0),
        ReportLine("4 posts repeated at other nodes", _format_repeats(result), None),
        ReportLine(
            "5 leaving runner's last start",
            f"{last_start_s:.2f} s",
            last_start_s < MAX_LEAVE_S,
        ),
        ReportLine("6 cut by the planned stop", str(cut_at_stop), cut_at_stop == 0),
        ReportLine(
            "6 exit code of stopped node",
            str(result.stop_exit_code),
            result.stop_exit_code == 0,
        ),
        ReportLine(
            "7 settings in force, in outage",
            f"{in_force_s:.2f} s",
            0 <= in_force_s < MAX_SETTINGS_S,
        ),
        ReportLine("reuse of prompt prefixes", f"{_reuse_share(result):.1%}", None),
        ReportLine(
            "control bytes/s per node",
            f"mean {control_rates[0]:.0f}, max {control_rates[1]:.0f}",
            control_rates[1] <= MAX_CONTROL_BYTES_PER_S,
        ),
        ReportLine("platform calls", _format_counts(result.platform_calls), None),
    ]


def render(lines: list[ReportLine]) -> str:
    """Return the table as text."""
    marks = {True: "ok", False: "BROKEN", None: ""}
    width = max(len(line.name) for line in lines)
    return "\n".join(
        f"{line.name:<{width}}  {marks[line.is_met]:<6}  {line.value}" for line in lines
    )


def _format_skew(result: DemoResult) -> str:
    peaks = [
        stats["peak_running"]
        for stats in result.runner_stats.values()
        if "peak_running" in stats
    ]
    return f"{max(peaks) / (sum(peaks) / len(peaks)):.2f} (peaks {sorted(peaks)})"


def _reuse_share(result: DemoResult) -> float:
    cached = prompts = 0
    for stats in result.runner_stats.values():
        cached += stats.get("cached_characters", 0)
        prompts += stats.get("prompt_characters", 0)
    return cached / max(1, prompts)


def _control_bytes_per_s(result: DemoResult) -> tuple[float, float]:
    rates = [
        sum(status["control_sent_bytes"].values()) / result.duration_s
        for status in result.node_status.values()
    ]
    return sum(rates) / len(rates), max(rates)


def _format_latency(result: DemoResult) -> str:
    p50_ms = result.tally.percentile_s(0.5) * 1000
    p95_ms = result.tally.percentile_s(0.95) * 1000
    return f"{p50_ms:.0f} ms / {p95_ms:.0f} ms"


def _format_repeats(result: DemoResult) -> str:
    tally = result.tally
    return f"{tally.repeated_posts} ({tally.stored_responses} got the stored response)"


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
