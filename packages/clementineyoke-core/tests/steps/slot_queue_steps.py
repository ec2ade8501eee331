from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.slot_ledger import SlotHolder
from clementineyoke_core.slot_queue import QueuedRequest, SlotQueue


def add(context, team, count, priority):
    for _ in range(count):
        context.number += 1
        hold = SlotHolder("node", context.number)
        # The first gives up first: at 1000 ms plus its number.
        ask = QueuedRequest(hold, team, priority, 1000.0 + context.number)
        context.turned_away = context.queue.add(ask)


def serve(context, count):
    served = [context.queue.pop_next(now_ms=0) for _ in range(count)]
    return [ask.team for ask in served]


@given("a queue in which team {team:d} has {count:d} requests of priority {priority:d}")
def given_queue(context, team, count, priority):
    context.number = 0
    context.queue = SlotQueue()
    add(context, team, count, priority)


@given("a queue of {places:d} places in which team 1 has 4 requests of priority 5")
def given_small_queue(context, places):
    context.number = 0
    context.queue = SlotQueue(most_waiting=places)
    add(context, 1, 4, 5)


@when("team 2 and team 3 add one each of priority 5, and team 4 one of priority 2")
def add_others(context):
    add(context, 2, 1, 5)
    add(context, 3, 1, 5)
    add(context, 4, 1, 2)


@when("{count:d} of them are served and team {team:d} adds {more:d} of priority 5")
def serve_some(context, count, team, more):
    assert serve(context, count) == [1] * count
    add(context, team, more, 5)


@when("team {team:d} adds one of priority {priority:d}")
def add_one(context, team, priority):
    add(context, team, 1, priority)


@when("the first has given up and the second is taken out")
def give_up(context):
    assert context.queue.remove(SlotHolder("node", 2))
    context.now_ms = 1001.5


@then("the first four served are of the teams {teams}")
def check_first(context, teams):
    assert serve(context, 4) == [int(team) for team in teams.split(", ")]


@then("the teams are served in turns")
def check_turns(context):
    served = serve(context, 20)
    assert served.count(1) == served.count(2) == 10, served
    assert max(abs(served[:n].count(1) - served[:n].count(2)) for n in range(20)) <= 1


@then("team 1's last request is turned away")
def check_turned_away(context):
    assert context.turned_away.holder == SlotHolder("node", 4)


@then("the third is served and then nobody")
def check_third(context):
    assert context.queue.pop_next(now_ms=context.now_ms).holder.ask_id == 3
    assert context.queue.pop_next(now_ms=context.now_ms) is None
