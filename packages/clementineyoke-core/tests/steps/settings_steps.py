from __future__ import annotations

from behave import given, then, when
from hypothesis import (
    given as for_any,
    settings as hypothesis_settings,
    strategies as st,
)

from clementineyoke_core.settings import log as settings_log
from clementineyoke_core.settings.change import (
    SettingsChange,
    decode_change,
    encode_change,
)
from clementineyoke_core.settings.log import ApplyOutcome, SettingsLog
from clementineyoke_core.settings.tree import SettingsTree
from clementineyoke_core.settings.validation import find_violations

TEAM = "/league/finals"


def make_change(version):
    return SettingsChange(
        version=version,
        nonce=f"nonce-{version}",
        author="operator",
        note="",
        at_ms=0,
        edits={TEAM: {"rate_per_s": version}},
    )


@given("{count:d} accepted changes of one team's rate")
def given_changes(context, count):
    context.changes = [make_change(version) for version in range(1, count + 1)]
    for change in context.changes:
        assert decode_change(encode_change(change)) == change


@then("in whatever order they arrive the version never decreases")
def check_order(context):
    changes = context.changes
    trees = context.trees = {}

    @hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
    @for_any(st.lists(st.integers(0, len(changes) - 1), max_size=30))
    def offer(order):
        log = SettingsLog()
        for index in order:
            before = log.version
            outcome = log.apply(changes[index])
            assert log.version >= before
            assert (outcome is ApplyOutcome.APPLIED) == (log.version == before + 1)
            if log.version:
                rate = log.tree.value(TEAM, "rate_per_s")
                assert trees.setdefault(log.version, rate) == rate == log.version

    offer()


@then("equal versions have equal trees")
def check_trees(context):
    assert context.trees == {n: n for n in context.trees}
    assert len(context.trees) > 1, "no order got beyond the first version"


@given("a tree with a rate of {root:d} at the root and {own:d} at {path}")
def given_tree(context, root, own, path):
    context.tree = SettingsTree()
    edits = {"/": {"rate_per_s": root}, path: {"rate_per_s": own}, "/league": {}}
    context.tree.apply(edits)


@when("the root's rate changes to {rate:d}")
def change_root(context, rate):
    context.tree.apply({"/": {"rate_per_s": rate}})


@then("{path} has {field} {value:d} from {source}")
def check_value(context, path, field, value, source):
    name = {"rate": "rate_per_s"}.get(field, field)
    assert context.tree.resolve(path)[name] == (value, source)


@when("a document with 5 violations is checked")
def check_document(context):
    context.violations = find_violations(
        {
            "/": {"rate_per_s": -1, "no_such_field": 1},
            "league": {},
            "/league": {"key_hashes": ["0" * 64]},
            "/league/finals": {"priority": 1.5},
        }
    )


@then("each violation is reported with its path and reason")
def check_violations(context):
    reported = {(violation.path, violation.field) for violation in context.violations}
    assert reported == {
        ("/", "rate_per_s"),
        ("/", "no_such_field"),
        ("league", ""),
        ("/league", "key_hashes"),
        ("/league/finals", "priority"),
    }
    assert all(violation.reason for violation in context.violations)


@then("any JSON value is either valid or rejected with reasons")
def fuzz_validation(context):
    leaves = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
    names = st.sampled_from(["/", "/a", "/a/b", "rate_per_s", "priority", "models"])
    values = st.recursive(
        leaves,
        lambda inner: st.lists(inner) | st.dictionaries(st.text() | names, inner),
        max_leaves=12,
    )

    # Hypothesis derives the examples from the source of the check: another name in it
    # draws other examples.
    find_faults = find_violations

    @hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
    @for_any(values)
    def check(document):
        faults = find_faults(document)
        if not faults:
            SettingsTree().apply(document)

    check()


@then(
    "a log of all of them returns the last {count:d} for a peer at version {version:d}"
)
def check_peer(context, count, version):
    context.log = SettingsLog()
    for change in context.changes:
        context.log.apply(change)
    assert context.log.changes_after(version) == context.changes[-count:]


@then("it returns none for a peer whose next change is no longer kept")
def check_gap(context):
    for version in range(7, settings_log.MAX_RECENT_CHANGES + 10):
        context.log.apply(make_change(version))
    assert context.log.changes_after(0) is None
