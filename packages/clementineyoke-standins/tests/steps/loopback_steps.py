from __future__ import annotations

from pathlib import Path

from behave import then

from clementineyoke_standins.soak.loopback import free_ports

EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


@then(
    "each of {fleets:d} fleets that request {count:d} ports gets {expected:d} distinct "
    "ones"
)
def check_distinct(context, fleets, count, expected):
    context.ports = [free_ports(count) for _ in range(fleets)]
    assert all(len(set(ports)) == expected for ports in context.ports)


@then("no port is in the kernel's range of ephemeral ports")
def check_range(context):
    first, _ = map(int, EPHEMERAL_PORT_RANGE.read_text().split())
    assert max(max(ports) for ports in context.ports) < first
