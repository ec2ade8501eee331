"""Decodes the platform's host list host by host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, Literal, cast

import msgspec

from clementineyoke_node.objects.host_list import HostChanges
from clementineyoke_wire.events import Event, log_event

if TYPE_CHECKING:
    from clementineyoke_wire.bodies import HostBody

MAX_PORT = 0xFFFF

_Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]


class _Host(msgspec.Struct):
    host: str
    role: Literal["entry", "engine", "service"]
    address: str
    port: _Port
    availability_zone: str
    region: str
    state: str
    peer_port: _Port = 0
    pool: str = ""
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)] = 0


class _Changes(msgspec.Struct):
    revision: int
    is_whole: bool
    hosts: list[Any]
    gone: list[str]


def decode_host_changes(document: Any) -> HostChanges:
    """Decode a response; raises ``ValueError`` if it has no list of hosts.

    A host with an invalid entry counts as gone: its earlier entry no longer applies.
    """
    changes = msgspec.convert(document, _Changes)
    hosts: list[HostBody] = []
    gone = list(changes.gone)
    for fields in changes.hosts:
        try:
            host = msgspec.to_builtins(msgspec.convert(fields, _Host))
        except (ValueError, RecursionError) as error:
            name = fields.get("host") if isinstance(fields, dict) else None
            log_event(Event.HOST_REFUSED, host=str(name), reason=str(error))
            if isinstance(name, str):
                gone.append(name)
            continue
        hosts.append(cast("HostBody", host))
    return HostChanges(changes.revision, changes.is_whole, hosts, gone)
