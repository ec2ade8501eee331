"""HTTP client of the platform's object API and host list."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any, Self

import aiohttp

from clementineyoke_node.bounds.bounded_connector import make_bounded_connector
from clementineyoke_node.bounds.byte_limits import read_at_most
from clementineyoke_node.objects.host_codec import decode_host_changes
from clementineyoke_node.objects.object_api import StoredObject, WatchResult
from clementineyoke_node.objects.platform_error import (
    PlatformError,
    VersionConflictError,
)

if TYPE_CHECKING:
    from clementineyoke_node.bounds.byte_limits import ByteLimits
    from clementineyoke_node.objects.host_list import HostChanges

WATCH_WAIT_MS = 30_000
MS_PER_S = 1000.0
MAX_RESPONSE_BYTES = 33_554_432
"""A page of objects of up to a megabyte each, in base64."""
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 412
STATUS_ERROR = 400


class HttpPlatform:
    """Implements ``ObjectApi`` and ``HostList`` over HTTP."""

    def __init__(self, *, url: str, timeout_ms: int, byte_limits: ByteLimits) -> None:
        self._byte_limits = byte_limits
        self._url = url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the connection pool."""
        connector = make_bounded_connector(
            self._byte_limits, connect_timeout_ms=self._timeout_ms, socket_factory=None
        )
        self._session = aiohttp.ClientSession(connector=connector)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def read(self, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        status, document = await self._call("GET", f"/objects/{name}")
        if status == STATUS_NOT_FOUND:
            return None
        return _decode_object(document)

    async def write(self, name: str, body: bytes, *, expected_version: int) -> int:
        """Write an object if its version matches; see ``ObjectApi.write``."""
        _, document = await self._call(
            "PUT",
            f"/objects/{name}",
            data=body,
            headers={"If-Match": str(expected_version)},
        )
        version: int = document["version"]
        return version

    async def list_after(self, prefix: str, after: str) -> list[StoredObject]:
        """Return a page of objects; see ``ObjectApi.list_after``."""
        _, document = await self._call(
            "GET", "/objects", params={"prefix": prefix, "after": after}
        )
        return [_decode_object(entry) for entry in document["objects"]]

    async def watch(self, prefix: str, *, after_revision: int) -> WatchResult:
        """Wait until objects with a prefix change."""
        params = {
            "prefix": prefix,
            "after_revision": str(after_revision),
            "wait_ms": str(WATCH_WAIT_MS),
        }
        _, document = await self._call(
            "GET", "/watch", params=params, wait_ms=WATCH_WAIT_MS
        )
        objects = [_decode_object(entry) for entry in document["objects"]]
        return WatchResult(document["revision"], objects)

    async def watch_hosts(self, *, after_revision: int) -> HostChanges:
        """Wait until the host list changes after a revision."""
        params = {
            "after_revision": str(after_revision),
            "wait_ms": str(WATCH_WAIT_MS),
        }
        _, document = await self._call(
            "GET", "/hosts", params=params, wait_ms=WATCH_WAIT_MS
        )
        try:
            return decode_host_changes(document)
        except (ValueError, RecursionError) as error:
            raise PlatformError(
                step="decode_hosts", peer=self._url, reason=str(error)
            ) from error

    async def _call(
        self, method: str, path: str, *, wait_ms: int = 0, **options: Any
    ) -> tuple[int, Any]:
        if self._session is None:
            raise PlatformError(step=method, peer=self._url, reason="is closed")
        total_s = (self._timeout_ms + wait_ms) / MS_PER_S
        try:
            async with self._session.request(
                method,
                self._url + path,
                timeout=aiohttp.ClientTimeout(total=total_s),
                **options,
            ) as response:
                self._check_status(method, path, response.status)
                body = await read_at_most(response.content, MAX_RESPONSE_BYTES)
                return response.status, json.loads(body)
        except (
            aiohttp.ClientError,
            TimeoutError,
            ValueError,
            RecursionError,
        ) as error:
            raise PlatformError(
                step=f"{method} {path}", peer=self._url, reason=repr(error)
            ) from error

    def _check_status(self, method: str, path: str, status: int) -> None:
        step = f"{method} {path}"
        if status == STATUS_CONFLICT:
            raise VersionConflictError(
                step=step, peer=self._url, reason="another version"
            )
        if status >= STATUS_ERROR and status != STATUS_NOT_FOUND:
            raise PlatformError(step=step, peer=self._url, reason=f"status {status}")


def _decode_object(document: Any) -> StoredObject:
    return StoredObject(
        document["name"], document["version"], base64.b64decode(document["body"])
    )
