from __future__ import annotations

import os
import platform
import subprocess
import tempfile
import tomllib
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).parents[4]
MARKERS = {
    "on this machine": f".ready-{platform.machine()}",
    "on another kind of machine": ".ready-another",
    "by an earlier build script": ".ready",
}
INSTALLER = """#!/bin/sh
case "$*" in *pip*) mkdir -p target/deps && touch target/deps/new ;; esac
"""


@given("a build folder whose libraries were installed {where}")
def given_folder(context, where):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    (context.folder / "requirements").mkdir()
    requirements = context.folder / "requirements/edge.txt"
    requirements.touch()
    os.utime(requirements, (0, 0))
    for package in ("core", "wire", "node"):
        source = context.folder / f"packages/clementineyoke-{package}/src"
        source.mkdir(parents=True)
        (source / package).touch()
    deps = context.folder / "target/deps"
    deps.mkdir(parents=True)
    (deps / "old").touch()
    (deps / MARKERS[where]).touch()
    installer = context.folder / "bin/python3"
    installer.parent.mkdir()
    installer.write_text(INSTALLER)
    installer.chmod(0o755)


@when("the build runs")
def run_build(context):
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    path = f"{context.folder}/bin:/usr/bin:/bin"
    subprocess.run(
        ["sh", "-c", deploy["build"]],
        cwd=context.folder,
        env={"PATH": path},
        check=True,
    )


@then("the libraries are {outcome}")
def check_libraries(context, outcome):
    deps = context.folder / "target/deps"
    found = {name for name in ("old", "new") if (deps / name).exists()}
    assert found == ({"old"} if outcome == "kept" else {"new"}), found
    assert (deps / f".ready-{platform.machine()}").exists()
