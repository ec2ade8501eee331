from __future__ import annotations

from collections import Counter

from behave import given, then, when

from clementineyoke_standins.edge.raw_answers import encode_raw_head

REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"
BODY = b"whole"


@given(
    "runner {number:d} refuses its first call without an id, and sends that again amid"
    " the next call"
)
def given_late_refusals(context, number):
    context.executed = Counter()
    refused_ports = set()
    late_ports = set()

    async def send(parts):
        for part in parts:
            yield part

    def answer(runner):
        def respond(call):
            port = runner.calls[-1].sender_port
            if runner is context.fleet.runners[number] and not refused_ports:
                refused_ports.add(port)
                late_ports.add(port)
                return send([REFUSAL])
            context.executed[call.call_id] += 1
            late = [REFUSAL] if port in late_ports else []
            late_ports.discard(port)
            head = encode_raw_head(call, Content_Length=str(len(BODY)))
            return send([*late, head + BODY])

        return respond

    for runner in context.fleet.runners:
        runner.raw_answer = answer(runner)


@when("{count:d} calls are made to a {kind} route")
def make_calls(context, count, kind):
    context.answers = {}
    for number in range(count):
        call_id = f"late-{number}"
        answer = context.run(context.fleet.call(kind, call_id=call_id))
        context.answers[call_id] = (answer[0], answer[2])


@then("each answered call was executed once, and no refused one")
def check_answers(context):
    executed = {call_id: context.executed[call_id] for call_id in context.answers}
    answers = context.answers.items()
    expected = {call_id: int(status == 200) for call_id, (status, _) in answers}
    assert executed == expected, (executed, context.answers)
    assert sum(expected.values()) >= len(expected) - 1, context.answers
