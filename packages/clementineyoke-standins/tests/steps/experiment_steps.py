from __future__ import annotations

import json
from pathlib import Path

from behave import given, then, when

from clementineyoke_standins.experiment.benchmark_launcher import (
    ArmRun,
    BenchmarkLauncher,
    Case,
)
from clementineyoke_standins.experiment.day_report import read_report
from clementineyoke_standins.experiment.paired_difference import compare

DAY = "/days/uneven.toml"


@given(
    "a day report with a worth of {worth:g}, {calls:d} calls to the store and a"
    " broken rule"
)
def given_report(context, worth, calls):
    context.report = read_report(
        json.dumps(
            {
                "G": worth,
                "parts": [["whole day", 0.35, 0.9]],
                "prices": [["cloud calls", calls, 0.02]],
                "unserved_by": [["502", 3, []], ["deadline", 1, []]],
                "breaks": ["LOST"],
            }
        )
    )


@then("its metrics contain the worth, the amount and price of the calls, and the rule")
def check_metrics(context):
    assert context.report.metrics() == {
        "worth": 0.5,
        "broken rules": 1.0,
        "prices": 0.02,
        "part: whole day": 0.9,
        "price: cloud calls": 0.02,
        "amount: cloud calls": 40.0,
        "unserved": 4.0,
        "unserved: 502": 3.0,
        "unserved: deadline": 1.0,
    }


@then("parsing an invalid report fails with the missing part in the error")
def check_rejected(context):
    for text, missing in (('{"G": 0.5}', "parts"), ("[]", "list"), ("{", "Expecting")):
        try:
            read_report(text)
        except ValueError as error:
            assert missing in str(error), error
        else:
            raise AssertionError(text)


@given("pairs whose second value is higher by 0.01 to 0.03")
def given_clear(context):
    context.first = [0.5, 0.6, 0.7, 0.4]
    context.second = [0.51, 0.63, 0.72, 0.42]


@given("pairs whose second value is higher by 0.02 in one half and lower in the other")
def given_unclear(context):
    context.first = [0.5, 0.6, 0.7, 0.4]
    context.second = [0.52, 0.58, 0.72, 0.38]


@then("the difference is clear, and computing it again gives the same result")
def check_clear(context):
    found = compare(context.first, context.second)
    assert found.is_clear
    assert round(found.difference, 6) == 0.02
    assert found == compare(context.first, context.second)


@then("the difference is unclear")
def check_unclear(context):
    found = compare(context.first, context.second)
    assert not found.is_clear
    assert str(found).endswith("unclear")


@when("the arguments for the small variant of a day are built")
def build_arguments(context):
    launcher = BenchmarkLauncher(
        bench=Path("bench"),
        arms={"new": Path("new")},
        folder=Path("folder"),
        why="why",
        jobs=1,
        charges_cpu=True,
        is_small=True,
    )
    context.arm_run = ArmRun("new", Case("/sites/large.toml", DAY, 7))
    context.arguments = launcher._arguments(context.arm_run, Path("report"))


@then("the benchmark gets the path of the day, the seed and the small option")
def check_arguments(context):
    assert context.arm_run.label == "new-large-uneven-7"
    assert context.arguments[:5] == ["run", "/sites/large.toml", DAY, "--seed", "7"]
    assert context.arguments[-1] == "--small"
