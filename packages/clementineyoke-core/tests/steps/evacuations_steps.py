from __future__ import annotations

from behave import given, then, when

from clementineyoke_core.edge.evacuations import (
    EvacuatedZone,
    EvacuationChanges,
    Evacuations,
    EvacuationView,
)


def make_zones(text, revision):
    names = sorted(name.strip() for name in text.split(",") if name.strip())
    return tuple(EvacuatedZone(name, revision) for name in names)


@given("no orders have been reported")
def given_nothing(context):
    context.orders = Evacuations()


@given('the evacuation orders at revision {revision:d} are "{zones}"')
@given('the evacuation orders at revision {revision:d} are ""')
def given_orders(context, revision, zones=""):
    given_nothing(context)
    report(context, revision, zones)


@when('the orders at revision {revision:d} are reported as "{zones}"')
@when('the orders at revision {revision:d} are reported as ""')
def report(context, revision, zones=""):
    view = EvacuationView(revision, make_zones(zones, revision))
    context.change = context.orders.replace(view)


@when('a watch shows "{zones}" evacuated up to revision {revision:d}')
def show_evacuated(context, zones, revision):
    changes = EvacuationChanges(revision, make_zones(zones, revision), ())
    context.change = context.orders.apply(changes)


@when(
    'a watch shows "{zones}" evacuated and "{returned}" returned up to revision {rev:d}'
)
def show_both(context, zones, returned, rev):
    changes = EvacuationChanges(rev, make_zones(zones, rev), (returned,))
    context.change = context.orders.apply(changes)


def evacuated_names(context):
    return [zone.availability_zone for zone in context.orders.view.zones]


@then("no zone is evacuated")
def check_none(context):
    assert evacuated_names(context) == []


@then('the zones "{zones}" are evacuated')
def check_zones(context, zones):
    assert ", ".join(evacuated_names(context)) == zones


@then('"{zone}" is newly evacuated and "{returned}" has returned')
def check_change(context, zone, returned):
    assert [new.availability_zone for new in context.change.evacuated] == [zone]
    assert context.change.returned == (returned,)


@then("the version for peers is still revision {revision:d}")
def check_version(context, revision):
    assert context.orders.version == revision


@then("the orders are known")
def check_known(context):
    assert context.orders.is_known
