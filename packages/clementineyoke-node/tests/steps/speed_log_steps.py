from __future__ import annotations

from behave import then, when
from loguru import logger

from clementineyoke_core.capacity.runner_speeds import USUAL_ESTIMATE
from clementineyoke_node.edge.speed_log import SpeedLog

RUNNER = "runner-1"


def update(context, field, texts):
    context.numbers = []
    sink = logger.add(
        lambda line: context.numbers.append(line.record["extra"]["event"]),
        level="DEBUG",
    )
    context.log = SpeedLog()
    try:
        for text in texts.replace(" and ", ", ").split(", "):
            if text == "moved":
                context.log.retain(set())
            else:
                estimate = USUAL_ESTIMATE._replace(**{field: float(text)})
                context.log.update(RUNNER, estimate)
    finally:
        logger.remove(sink)


@when("the load weight of a runner is {texts} in turn")
def update_weight(context, texts):
    update(context, "load_weight", texts)


@when("the trust in a runner is {texts} in turn")
def update_trust(context, texts):
    update(context, "trust", texts)


@then("the log has the events {numbers}")
def check_events(context, numbers):
    found = ", ".join(str(number) for number in context.numbers)
    assert found == numbers, found


@then("nothing is remembered of the runner")
def check_forgotten(context):
    assert not context.log._slow
