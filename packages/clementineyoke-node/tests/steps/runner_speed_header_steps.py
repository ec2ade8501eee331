from __future__ import annotations

from behave import then, when
from hypothesis import (
    given as for_any,
    settings as hypothesis_settings,
    strategies as st,
)
from multidict import CIMultiDict, CIMultiDictProxy

from clementineyoke_node.platform import names
from clementineyoke_node.platform.runner_codec import decode_response_head

MAX_VALUE = 65_535


def decode(status, value):
    fields = CIMultiDictProxy(CIMultiDict({names.SERVER_LOAD: value}))
    return decode_response_head(status, fields)


@when('a runner\'s response has status {status:d} and the load header "{value}"')
def decode_header(context, status, value):
    context.head = decode(status, value)


@then("its reported slowdown is {slowdown} and the header is {validity}")
def check_head(context, slowdown, validity):
    speed = context.head.speed
    found = "none" if speed is None else str(speed.slowdown_percent)
    assert found == slowdown, speed
    assert context.head.has_malformed_load is (validity == "malformed")


@then("any text as a load header gives a report, no report or a malformed one")
def check_any_header(context):
    seen = set()
    number = st.one_of(
        st.integers(-5, 10**30).map(str),
        st.floats().map(str),
        st.text("0123456789., +-eE_xnaif\u00b2\u0663", max_size=8),
    )
    values = st.one_of(st.text(), st.lists(number, max_size=6).map(",".join))

    @hypothesis_settings(max_examples=1_000, derandomize=True, deadline=None)
    @for_any(values)
    def check(value):
        head = decode(200, value)
        field_count = len(value.split(","))
        if head.speed is not None:
            assert field_count == len(head.speed)
            assert all(0 <= number <= MAX_VALUE for number in head.speed)
        assert head.has_malformed_load == (field_count > 3 and head.speed is None)
        seen.add((head.speed is None, head.has_malformed_load))

    check()
    assert seen == {(False, False), (True, False), (True, True)}
