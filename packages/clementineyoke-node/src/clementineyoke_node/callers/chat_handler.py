"""Chat completions: ``POST /v1/chat/completions``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from clementineyoke_core.chat_key import chat_key
from clementineyoke_core.outcome import Outcome
from clementineyoke_core.placement_token import ChatScope
from clementineyoke_core.request_error import RequestError
from clementineyoke_core.resume_token import StreamLocation
from clementineyoke_node.callers.body_reader import read_body
from clementineyoke_node.callers.dispatcher import RoutedCall
from clementineyoke_node.callers.response_relay import relay_response
from clementineyoke_wire import headers

if TYPE_CHECKING:
    from aiohttp import web

    from clementineyoke_core.placement_token import PlacementTokenCodec
    from clementineyoke_core.resume_token import ResumeTokenCodec
    from clementineyoke_node.callers.authenticator import Authenticator
    from clementineyoke_node.callers.caller_request import CallerRequest
    from clementineyoke_node.callers.dispatcher import Dispatcher

CHAT_PATH = "/v1/chat/completions"


class ChatMessage(msgspec.Struct):
    """One message of a chat; only its text content affects routing."""

    role: str
    content: Any = ""


class ChatBody(msgspec.Struct):
    """The fields of a chat request that routing uses.

    The runner receives the body unchanged.
    """

    model: str
    messages: list[ChatMessage]


_decoder = msgspec.json.Decoder(ChatBody)


class ChatHandler:
    """Route a chat to the runner that has its context in the cache."""

    def __init__(
        self,
        *,
        authenticator: Authenticator,
        dispatcher: Dispatcher,
        placement_tokens: PlacementTokenCodec,
        resume_tokens: ResumeTokenCodec,
    ) -> None:
        self._authenticator = authenticator
        self._dispatcher = dispatcher
        self._placement_tokens = placement_tokens
        self._resume_tokens = resume_tokens

    async def handle(
        self, request: web.Request, caller: CallerRequest
    ) -> web.StreamResponse:
        """Stream the runner's response to the caller."""
        body = await read_body(request)
        chat = _parse_chat(body)
        caller = self._authenticator.authorize_pool(
            request, caller, field="models", pool=chat.model
        )
        chat_id = request.headers.get(headers.CHAT_ID, "")
        scope = _chat_scope(caller, chat, chat_id)
        call = RoutedCall(
            caller=caller,
            pool=chat.model,
            key=scope.key,
            chat_id=chat_id,
            method="POST",
            path=CHAT_PATH,
            headers=_runner_headers(request, caller),
            body=body,
            is_idempotent=True,
            preferred=self._placement_tokens.read(
                scope, request.headers.get(headers.PLACEMENT, "")
            ),
        )
        async with self._dispatcher.exchange(call) as (runner, runner_response):
            return await relay_response(
                request,
                runner_response,
                runner=runner,
                request_id=caller.request_id,
                extra_headers=self._issue_tokens(call, scope, runner.runner_id),
            )

    def _issue_tokens(
        self, call: RoutedCall, scope: ChatScope, runner_id: str
    ) -> dict[str, str]:
        tokens = {headers.PLACEMENT: self._placement_tokens.issue(scope, runner_id)}
        if headers.RESUMABLE in call.headers:
            stream = StreamLocation(runner_id, call.caller.request_id)
            tokens[headers.RESUME] = self._resume_tokens.issue(
                call.caller.team_path, stream
            )
        return tokens


def _runner_headers(request: web.Request, caller: CallerRequest) -> dict[str, str]:
    runner_headers = {
        "Content-Type": "application/json",
        headers.PRIORITY: str(caller.priority),
    }
    if headers.RESUMABLE in request.headers:
        runner_headers[headers.RESUMABLE] = "1"
    return runner_headers


def _chat_scope(caller: CallerRequest, chat: ChatBody, chat_id: str) -> ChatScope:
    key = chat_key(
        team=caller.team_path,
        model=chat.model,
        chat_id=chat_id,
        prompt=_join_prompt(chat),
    )
    return ChatScope(caller.team_path, chat.model, key)


def _parse_chat(body: bytes) -> ChatBody:
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise RequestError(
            status=400,
            outcome=Outcome.NOT_RUN,
            step="parse_chat",
            reason=f"the body is no chat request: {error}",
        ) from error


def _join_prompt(chat: ChatBody) -> str:
    texts = [m.content for m in chat.messages if isinstance(m.content, str)]
    return "\n".join(texts)
