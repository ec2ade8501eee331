"""``make events``: write the event catalogue, or check that it is up to date."""

from __future__ import annotations

import sys
from pathlib import Path

import fire

from clementineyoke_wire.events import Event, render_catalogue

CATALOGUE = Path("docs/events.md")


def run(check: bool = False) -> None:
    """Write docs/events.md, or exit 1 with ``--check`` if it differs from the code."""
    numbers = [event.value.number for event in Event]
    if len(numbers) != len(set(numbers)):
        sys.exit("two events have the same number")
    if not check:
        CATALOGUE.write_text(render_catalogue(), encoding="utf-8")
        return
    if CATALOGUE.read_text(encoding="utf-8") != render_catalogue():
        sys.exit(f"{CATALOGUE} is out of date; run make events")


if __name__ == "__main__":
    fire.Fire(run)
