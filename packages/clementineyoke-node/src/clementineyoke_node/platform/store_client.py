"""A client of the platform's store: list, watch, create, replace and delete."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Any, NamedTuple, Self, TypeVar

import aiohttp
import msgspec

from clementineyoke_node.bounds.bounded_connector import make_bounded_connector
from clementineyoke_node.bounds.byte_limit_error import ByteLimitError
from clementineyoke_node.platform.format_error import FormatError
from clementineyoke_node.platform.store_error import (
    HistoryGoneError,
    ObjectMissingError,
    ResponseTooLongError,
    RevisionConflictError,
    StoreError,
    WatchCutError,
)
from clementineyoke_node.platform.store_page import (
    EntryChanges,
    EntryPage,
    StoredEntry,
    decode_events,
    decode_page,
)
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from clementineyoke_node.bounds.byte_limits import ByteLimits

MS_PER_S = 1000.0
CONNECT_TIMEOUT_MS = 500
"""The store responds in 4 ms. TCP resends a lost SYN only after a second; a new
connection is sooner."""
WATCH_SLACK_MS = 700
"""How much later than requested a slow store may end a watch."""
CALL_TIMEOUT_MS = 900
"""Limit for calls that do not wait for changes: a store that does not respond must not
block a node for longer than a retry takes. A slow store takes 0.4 s."""
OVERDUE_MS = 450
"""How late an answer is when a read is repeated on another connection. A slow store
answers sooner, but an answer or its connection may be lost while the store is well."""
_STATUS_MISSING = 404
_STATUS_CONFLICT = 409
_STATUS_GONE = 410
_STATUS_ERROR = 400


_Decoded = TypeVar("_Decoded", EntryPage, EntryChanges)


class EntryList(NamedTuple):
    """All objects of a kind and the revision of the list."""

    entries: list[StoredEntry]
    revision: int


class StoreClient:
    """Call the store over HTTP; owns the connections to it."""

    def __init__(self, *, address: str, byte_limits: ByteLimits) -> None:
        self._address = address
        self._byte_limits = byte_limits
        self._session: aiohttp.ClientSession | None = None
        self._watch_session: aiohttp.ClientSession | None = None
        self.calls = 0
        """Calls since the start; the platform charges for each."""

    async def __aenter__(self) -> Self:
        """Open the connection pool."""
        connector = make_bounded_connector(
            self._byte_limits, connect_timeout_ms=CONNECT_TIMEOUT_MS
        )
        self._session = aiohttp.ClientSession(connector=connector)
        self._watch_session = aiohttp.ClientSession(
            connector=connector, connector_owner=False
        )
        # aiohttp would send a watch that was cut off once more, for its whole time, and
        # has no public switch for that.
        self._watch_session._retry_connection = False  # noqa: SLF001
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connection pool."""
        for session in (self._watch_session, self._session):
            if session is not None:
                await session.close()

    async def list_all(self, kind: str, *, allow_stale: bool = False) -> EntryList:
        """Return all objects of a kind, read page by page.

        A stale list may be some seconds old and costs a tenth.
        """
        entries: list[StoredEntry] = []
        revision = 0
        after = ""
        while True:
            params = {"afterRev": after} if after else {}
            if allow_stale:
                params["allowStale"] = "1"
            content = await self._read(_path(kind), params)
            page = self._decode(decode_page, content, kind)
            entries += page.entries
            # Later pages may have later revisions; a watch from the first page's
            # revision misses no change between them.
            revision = revision or page.revision
            # A name that could not be read as it is may lead back to the same page.
            if not page.has_more or page.last_name == after:
                return EntryList(entries, revision)
            after = page.last_name

    async def watch(self, kind: str, *, revision: int, wait_ms: int) -> EntryChanges:
        """Wait until objects of a kind change after a revision.

        Raises ``HistoryGoneError`` if the objects must be listed again, and
        ``WatchCutError`` if the store ended the watch before its time.
        """
        params = {"watch": str(revision), "waitMs": str(wait_ms)}
        content = await self._read(_path(kind), params, wait_ms=wait_ms)
        return self._decode(decode_events, content, kind)

    async def create(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Create an object; raises ``RevisionConflictError`` if it exists."""
        await self._call("POST", _path(kind), body=_object(name, spec))

    async def replace(
        self, kind: str, name: str, spec: dict[str, Any], *, revision: int = 0
    ) -> None:
        """Replace an object's content.

        Raises ``RevisionConflictError`` if a revision is given that is not the
        object's, and ``ObjectMissingError`` if there is no object.
        """
        body = _object(name, spec)
        if revision:
            body["metadata"]["revision"] = revision
        await self._call("PUT", f"{_path(kind)}/{name}", body=body)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; a missing object is not an error."""
        with suppress(ObjectMissingError):
            await self._call("DELETE", f"{_path(kind)}/{name}")

    async def _read(
        self, path: str, params: dict[str, str], *, wait_ms: int = 0
    ) -> bytes:
        """Return the answer to a read, which is repeated once if it is overdue."""
        timeout_ms = wait_ms + (WATCH_SLACK_MS if wait_ms else CALL_TIMEOUT_MS)
        repeat_after_ms = wait_ms + OVERDUE_MS
        first = self._call(
            "GET", path, params=params, wait_ms=wait_ms, timeout_ms=timeout_ms
        )
        calls = [asyncio.ensure_future(first)]
        try:
            await asyncio.wait(calls, timeout=repeat_after_ms / MS_PER_S)
            if not calls[0].done():
                again = {**params, "waitMs": "0"} if wait_ms else params
                left_ms = timeout_ms - repeat_after_ms
                call = self._call("GET", path, params=again, timeout_ms=left_ms)
                calls.append(asyncio.ensure_future(call))
            return await _first_answer(calls)
        finally:
            for pending in calls:
                pending.cancel()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        wait_ms: int = 0,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> bytes:
        step = f"{method} {path}"
        session = self._watch_session if wait_ms else self._session
        if session is None or session.closed:
            raise StoreError(step=step, peer=self._address, reason="is closed")
        self.calls += 1
        data = None if body is None else msgspec.json.encode(body)
        started_s = time.monotonic()
        try:
            async with session.request(
                method,
                f"http://{self._address}{path}",
                params=params,
                data=data,
                headers={"Content-Type": "application/json"} if data else None,
                timeout=aiohttp.ClientTimeout(total=timeout_ms / MS_PER_S),
            ) as response:
                content = await self._byte_limits.read(response.content, peer=step)
        except ByteLimitError as error:
            raise ResponseTooLongError(
                step=step, peer=self._address, reason=str(error)
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            took_ms = (time.monotonic() - started_s) * MS_PER_S
            kind = WatchCutError if wait_ms and _is_cut(error) else StoreError
            raise kind(
                step=step,
                peer=self._address,
                reason=repr(error),
                unanswered_ms=max(0.0, took_ms - wait_ms),
            ) from error
        self._check_status(step, response.status)
        return content

    def _check_status(self, step: str, status: int) -> None:
        if status < _STATUS_ERROR:
            return
        error: type[StoreError] = StoreError
        if status == _STATUS_GONE:
            error = HistoryGoneError
        elif status == _STATUS_CONFLICT:
            error = RevisionConflictError
        elif status == _STATUS_MISSING:
            error = ObjectMissingError
        raise error(step=step, peer=self._address, reason=f"status {status}")

    def _decode(
        self, decode: Callable[[bytes], _Decoded], content: bytes, kind: str
    ) -> _Decoded:
        try:
            decoded = decode(content)
        except FormatError as error:
            raise StoreError(
                step=error.step, peer=self._address, reason=error.reason
            ) from error
        if decoded.unreadable_count:
            log_event(Event.ENTRY_UNREADABLE, kind=kind, count=decoded.unreadable_count)
        return decoded


async def _first_answer(calls: list[asyncio.Task[bytes]]) -> bytes:
    """Return the first answer, or raise the first call's error if there is none."""
    pending = set(calls)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        answered = [call for call in done if call.exception() is None]
        if answered:
            return answered[0].result()
    return calls[0].result()


def _is_cut(error: Exception) -> bool:
    """Return whether an open connection has ended, other than by a timeout."""
    is_open = not isinstance(error, aiohttp.ClientConnectorError)
    return is_open and not isinstance(error, TimeoutError)


def _path(kind: str) -> str:
    return f"/v1/objects/{kind}"


def _object(name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {"metadata": {"name": name}, "spec": spec}
