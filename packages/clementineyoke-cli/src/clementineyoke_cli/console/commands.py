"""The command tree that ``fire`` exposes."""

from __future__ import annotations

import getpass
import os
from typing import Any

from clementineyoke_cli.admin_client import AdminClient
from clementineyoke_cli.console.printing import print_result
from clementineyoke_cli.log_story import read_story
from clementineyoke_cli.settings_file import read_settings_file
from clementineyoke_wire.bodies import SettingsChangeBody

DEFAULT_NODE = "http://127.0.0.1:8081"


class SettingsCommands:
    """Look at and change the tree of settings."""

    def __init__(self, *, client: AdminClient, json: bool) -> None:
        self._client = client
        self._json = json

    def get(self, path: str = "/") -> None:
        """Show each field's value at a path and where it comes from."""
        result = self._client.call("get", "/admin/settings", path=path)
        print_result(result, as_json=self._json)

    def history(self) -> None:
        """Show the last accepted changes."""
        result = self._client.call("get", "/admin/settings/history")
        print_result(result, as_json=self._json)

    def diff(self, file: str) -> None:
        """Show what applying a file would change, without changing anything."""
        self._change(read_settings_file(file), note="", dry_run=True)

    def apply(self, file: str, note: str = "") -> None:
        """Put a file's paths in force, all together or not at all."""
        self._change(read_settings_file(file), note=note, dry_run=False)

    def set(self, path: str, field: str, value: Any, note: str = "") -> None:
        """Set one field at a path, keeping what else the path says."""
        seen = self._client.call("get", "/admin/settings", path=path)
        values = {**(seen["own"] or {}), field: value}
        self._change({path: values}, note=note, dry_run=False, seen=seen)

    def _change(
        self,
        edits: dict[str, dict[str, Any] | None],
        *,
        note: str,
        dry_run: bool,
        seen: Any = None,
    ) -> None:
        # The version is the one that the edit was worked out from: a change that
        # another operator made in between must end in a conflict, not be overwritten.
        seen = seen or self._client.call("get", "/admin/settings")
        body = SettingsChangeBody(
            author=getpass.getuser(),
            note=note,
            based_on=seen["version"],
            dry_run=dry_run,
            edits=edits,
        )
        result = self._client.call("change_settings", body)
        print_result(result, as_json=self._json)


class Commands:
    """Operate a clementineyoke fleet.

    Every command talks to one node (``--node``, or CLEMENTINEYOKE_NODE) with an
    operator key (CLEMENTINEYOKE_KEY). ``--json`` behind a command prints JSON. Exit
    codes: 0 done, 1 refused or failed, 2 wrong usage.
    """

    def __init__(self, node: str = "", json: bool = False) -> None:
        url = node or os.environ.get("CLEMENTINEYOKE_NODE", DEFAULT_NODE)
        key = os.environ.get("CLEMENTINEYOKE_KEY", "")
        self._client = AdminClient(url=url, key=key)
        self._json = json
        self.settings = SettingsCommands(client=self._client, json=json)

    def status(self) -> None:
        """Show hosts, runners with their states and homes, and the version."""
        result = self._client.call("get", "/admin/status")
        print_result(result, as_json=self._json)

    def explain(self, request_or_chat: str, logs: str | tuple[str, ...] = ()) -> None:
        """Show why a request, or a chat, was routed as it was.

        Without ``--logs`` the node is asked. With ``--logs=FILE,FILE`` the story is
        read from the logs of any number of nodes; no node is needed.
        """
        if logs:
            files = logs.split(",") if isinstance(logs, str) else logs
            for line in read_story(str(request_or_chat), files):
                print(line)
            return
        result = self._client.call("get", "/admin/explain", id=str(request_or_chat))
        print_result(result, as_json=self._json)

    def drain(self) -> None:
        """Tell the node to finish what it has and end."""
        print_result(self._client.call("drain"), as_json=self._json)

    def check(self, file: str) -> None:
        """Check a settings file without any node."""
        paths = read_settings_file(file)
        print_result({"valid": True, "paths": len(paths)}, as_json=self._json)
