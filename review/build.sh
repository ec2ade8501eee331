#!/bin/sh
# Builds the stand-ins of the cases: they need Python 3.11 alone, so they are compiled.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q .
