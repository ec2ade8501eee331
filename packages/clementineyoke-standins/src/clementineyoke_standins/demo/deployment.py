"""The two deployments that the demo can run on loopback."""

from __future__ import annotations

from typing import NamedTuple

PLATFORM_ADDRESS = "127.0.0.2"
PLATFORM_PORT = 18000
RUNNER_ADDRESS = "127.0.0.3"
FIRST_RUNNER_PORT = 18100
CALLER_PORT = 18080
PEER_PORT = 18081
FIRST_NODE_NUMBER = 11
NODE_COUNT = 9


class Deployment(NamedTuple):
    """Hosts, teams and models of one users' fleet."""

    name: str
    region: str
    availability_zones: tuple[str, ...]
    group: str
    teams: tuple[str, ...]
    model: str
    engines: int
    service: str
    services: int
    settings_file: str
    engine_slots: int = 16
    service_slots: int = 64


LEAGUE = Deployment(
    name="league",
    region="prairies",
    availability_zones=("regina-hall", "saskatoon-hall", "winnipeg-hall"),
    group="league",
    teams=(
        "finals-desk",
        "rulings",
        "narratives",
        "tilt-flags",
        "regina-arcades",
        "saskatoon-arcades",
        "winnipeg-arcades",
        "brackets",
        "junior-league",
        "archive",
    ),
    model="rulings-large",
    engines=6,
    service="scores",
    services=3,
    settings_file="samples/league-settings.json",
)
COOP = Deployment(
    name="coop",
    region="kigali",
    availability_zones=("nyarugenge", "kicukiro", "gasabo"),
    group="coop",
    teams=(
        "bus-parks",
        "guesthouses",
        "car-hire",
        "tenancy",
        "disputes",
        "members",
        "landlords",
        "drivers",
        "guests",
        "back-office",
    ),
    model="tenancy-large",
    engines=5,
    service="lockers",
    services=3,
    settings_file="samples/coop-settings.json",
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (LEAGUE, COOP)}
