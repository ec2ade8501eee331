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


@given("nothing has been told")
def given_nothing(context):
    context.orders = Evacuations()


@given('the orders as of revision {revision:d} with "{zones}"')
@given('the orders as of revision {revision:d} with ""')
def given_orders(context, revision, zones=""):
    given_nothing(context)
    tell(context, revision, zones)


@when('the orders as of revision {revision:d} with "{zones}" are told')
@when('the orders as of revision {revision:d} with "" are told')
def tell(context, revision, zones=""):
    view = EvacuationView(revision, make_zones(zones, revision))
    context.change = context.orders.replace(view)


@when('a watch shows "{zones}" emptied up to revision {revision:d}')
def show_given(context, zones, revision):
    changes = EvacuationChanges(revision, make_zones(zones, revision), ())
    context.change = context.orders.apply(changes)


@when('a watch shows "{zones}" emptied and "{gone}" returned up to revision {rev:d}')
def show_both(context, zones, gone, rev):
    changes = EvacuationChanges(rev, make_zones(zones, rev), (gone,))
    context.change = context.orders.apply(changes)


def emptied(context):
    return [zone.availability_zone for zone in context.orders.view.zones]


@then("no zone is emptied")
def check_none(context):
    assert emptied(context) == []


@then('the zones "{zones}" are emptied')
def check_zones(context, zones):
    assert ", ".join(emptied(context)) == zones


@then('"{zone}" is new and "{gone}" has returned')
def check_change(context, zone, gone):
    assert [new.availability_zone for new in context.change.evacuated] == [zone]
    assert context.change.returned == (gone,)


@then("what peers compare is still revision {revision:d}")
def check_version(context, revision):
    assert context.orders.version == revision


@then("the orders are known")
def check_known(context):
    assert context.orders.is_known
