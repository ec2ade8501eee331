"""HTTP client for the operator API of a node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from clementineyoke_cli.admin_error import AdminError

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import SettingsChangeBody

TIMEOUT_S = 15.0
MIN_ERROR_STATUS = 400


class AdminClient:
    """Client for one node, authenticated with an operator key."""

    def __init__(self, *, url: str, key: str) -> None:
        self._url = url.rstrip("/")
        self._key = key

    async def get(self, path: str, /, **params: str) -> Any:
        """Return the JSON body of a GET request; raises ``AdminError`` on failure."""
        return await self._call("GET", path, params=params)

    async def change_settings(self, body: SettingsChangeBody) -> Any:
        """Submit a change of settings; raises ``AdminError`` if it is refused."""
        return await self._call("POST", "/admin/settings", json=body)

    async def drain(self) -> Any:
        """Make the node drain and exit; raises ``AdminError`` on failure."""
        return await self._call("POST", "/admin/drain")

    def call(self, method: str, *args: Any, **kwargs: Any) -> Any:
        """Run one of the asynchronous methods, given by name, from synchronous code."""
        return asyncio.run(getattr(self, method)(*args, **kwargs))

    async def _call(self, method: str, path: str, **options: Any) -> Any:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    self._url + path,
                    headers={"Authorization": f"Bearer {self._key}"},
                    **options,
                ) as response,
            ):
                body = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise AdminError(
                step=path, peer=self._url, reason=repr(error), details=[]
            ) from error
        if response.status >= MIN_ERROR_STATUS:
            raise AdminError(
                step=body.get("step", path),
                peer=self._url,
                reason=body.get("reason", str(response.status)),
                details=body.get("details", []),
            )
        return body
