from __future__ import annotations

from pathlib import Path

from behave import then

from clementineyoke_standins.soak.loopback import free_ports

CONNECTIONS = Path("/proc/sys/net/ipv4/ip_local_port_range")


@then(
    "each of {fleets:d} fleets that claim {count:d} ports has {wanted:d} different ones"
)
def check_different(context, fleets, count, wanted):
    context.claims = [free_ports(count) for _ in range(fleets)]
    assert all(len(set(ports)) == wanted for ports in context.claims)


@then("none of them is among those that the kernel gives to connections")
def check_range(context):
    first, _ = map(int, CONNECTIONS.read_text().split())
    assert max(max(ports) for ports in context.claims) < first
