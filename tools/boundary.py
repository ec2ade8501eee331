"""Check that names of the users' platform occur only in its adapter and stand-ins."""

from __future__ import annotations

import re
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
EXEMPT_FOLDERS = (
    "packages/clementineyoke-node/src/clementineyoke_node/platform/",
    "packages/clementineyoke-standins/src/clementineyoke_standins/edge/",
)
"""The adapter to the platform, and the stand-ins that simulate the platform."""
PLATFORM_NAMES = (
    "X-Attempt-Id",
    "X-Server-Signature",
    "X-Server-Load",
    "X-Tenant",
    "X-Target-Instance",
    "X-Instance-Id",
    "X-Not-Executed",
    "X-Prompt-Prefix",
    "X-Token-Counts",
    "X-Request-Urgency",
    "X-Kv-Backup",
    "Kv-Fetch",
    "Kv-From",
    "Last-Event-Id",
    "/v1/objects",
    "/v1/resolve",
    "/v1/readyz",
    "/v1/report",
    "storeRevision",
    "afterRev",
    "weightedServices",
    "pathPrefix",
    "maxAttempts",
    "apiKeys",
    "targetLatencyMs",
    "gapAimMs",
    "CLEMENTINEYOKE_NODE_FILE",
)
_PATTERN = re.compile("|".join(map(re.escape, PLATFORM_NAMES)), re.IGNORECASE)


def main() -> None:
    """Print each line that contains a platform name; exit 1 if there are any."""
    found = [line for path in _source_files() for line in _find_lines(path)]
    for line in found:
        print(line)
    sys.exit(1 if found else 0)


def _source_files() -> list[Path]:
    paths = sorted(ROOT.glob("packages/*/src/**/*.py"))
    return [
        path
        for path in paths
        if not str(path.relative_to(ROOT)).startswith(EXEMPT_FOLDERS)
    ]


def _find_lines(path: Path) -> list[str]:
    lines = path.read_text().splitlines()
    return [
        f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
        for number, line in enumerate(lines, start=1)
        if _PATTERN.search(line)
    ]


if __name__ == "__main__":
    main()
