"""Commands exposed by ``fire``."""

from __future__ import annotations

import getpass
import os
from typing import Any

from clementineyoke_cli.admin_client import AdminClient
from clementineyoke_cli.console.printing import print_result
from clementineyoke_cli.request_timeline import read_request_timeline
from clementineyoke_cli.settings_file import read_settings_file
from clementineyoke_wire.bodies import SettingsChangeBody

DEFAULT_NODE = "http://127.0.0.1:8081"


class SettingsCommands:
    """Show and change the tree of settings."""

    def __init__(self, *, client: AdminClient, json: bool) -> None:
        self._client = client
        self._json = json

    def get(self, path: str = "/") -> None:
        """Show the value of each field at a path and the path that sets it."""
        result = self._client.call("get", "/admin/settings", path=path)
        print_result(result, as_json=self._json)

    def history(self) -> None:
        """Show the most recent accepted changes."""
        result = self._client.call("get", "/admin/settings/history")
        print_result(result, as_json=self._json)

    def diff(self, file: str) -> None:
        """Show what applying a file would change, without applying it."""
        self._change(read_settings_file(file), note="", dry_run=True)

    def apply(self, file: str, note: str = "") -> None:
        """Apply all changes in a file, or none if one is refused."""
        self._change(read_settings_file(file), note=note, dry_run=False)

    def set(self, path: str, field: str, value: Any, note: str = "") -> None:
        """Set one field at a path and keep the other fields of the path."""
        current = self._client.call("get", "/admin/settings", path=path)
        values = {**(current["own"] or {}), field: value}
        self._change({path: values}, note=note, dry_run=False, current=current)

    def _change(
        self,
        edits: dict[str, dict[str, Any] | None],
        *,
        note: str,
        dry_run: bool,
        current: Any = None,
    ) -> None:
        # Send the version that the edits are based on, so that a concurrent change by
        # another operator results in a conflict instead of being overwritten.
        current = current or self._client.call("get", "/admin/settings")
        body = SettingsChangeBody(
            author=getpass.getuser(),
            note=note,
            based_on=current["version"],
            dry_run=dry_run,
            edits=edits,
        )
        result = self._client.call("change_settings", body)
        print_result(result, as_json=self._json)


class Commands:
    """Operate a clementineyoke fleet.

    Commands connect to one node (``--node`` or CLEMENTINEYOKE_NODE) with an operator
    key (CLEMENTINEYOKE_KEY). ``--json`` after a command prints JSON. Exit codes:
    0 success, 1 refused or failed, 2 invalid usage.
    """

    def __init__(self, node: str = "", json: bool = False) -> None:
        url = node or os.environ.get("CLEMENTINEYOKE_NODE", DEFAULT_NODE)
        key = os.environ.get("CLEMENTINEYOKE_KEY", "")
        self._client = AdminClient(url=url, key=key)
        self._json = json
        self.settings = SettingsCommands(client=self._client, json=json)

    def status(self) -> None:
        """Show hosts, runners with their states and home nodes, and the version."""
        result = self._client.call("get", "/admin/status")
        print_result(result, as_json=self._json)

    def pressure(self) -> None:
        """Show pressure and admission level by pool, as a node on the platform knows.

        ``--node`` is the node's control port. A pool is listed if calls of less urgent
        priorities may be rejected there.
        """
        result = self._client.call("get", "/status")
        print_result(result.get("pressure", {}), as_json=self._json)

    def explain(self, request_or_chat: str, logs: str | tuple[str, ...] = ()) -> None:
        """Show how a request or chat was routed, and why.

        Without ``--logs`` the node is queried. With ``--logs=FILE,FILE`` the timeline
        is read from the log files of any number of nodes, and no node is contacted.
        """
        if logs:
            files = logs.split(",") if isinstance(logs, str) else logs
            for line in read_request_timeline(str(request_or_chat), files):
                print(line)
            return
        result = self._client.call("get", "/admin/explain", id=str(request_or_chat))
        print_result(result, as_json=self._json)

    def drain(self) -> None:
        """Stop the node once its requests in flight are finished."""
        print_result(self._client.call("drain"), as_json=self._json)

    def check(self, file: str) -> None:
        """Validate a settings file without contacting a node."""
        paths = read_settings_file(file)
        print_result({"valid": True, "paths": len(paths)}, as_json=self._json)
