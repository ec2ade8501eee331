from __future__ import annotations

import zlib

from behave import then, when
from leaving_node_steps import connect, encode_request

BODY = b"the text of a body " * 20


@when('a body with the content coding "{coding}" is sent')
def send_coded(context, coding):
    encoders = {
        "gzip": lambda: zlib.compress(BODY, wbits=31),
        "deflate": lambda: zlib.compress(BODY),
    }
    context.sent = encoders.get(coding, lambda: BODY)()

    async def act():
        reader, writer = await connect(context.fleet)
        fields = f"Content-Encoding: {coding}\r\nConnection: close\r\n"
        writer.write(
            encode_request(
                "coded",
                method="POST",
                kind="non_idempotent",
                fields=fields,
                body=context.sent,
            )
        )
        answer = await reader.read()
        writer.close()
        return answer

    context.raw, context.coding = context.run(act()), coding


@then("the runner received the body and the content coding unchanged")
def check_coded(context):
    (call,) = context.fleet.calls()
    assert call.body == context.sent, call
    assert call.headers["content-encoding"] == context.coding, call.headers
    assert b" 200 " in context.raw.partition(b"\r\n")[0], context.raw
