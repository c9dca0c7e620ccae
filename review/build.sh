#!/bin/sh
# Builds the stand-ins of all cases. They are Python on the standard library alone, run by the environment that
# `build` of deploy/balancer.toml has made; nothing is installed.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run \`build\` of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review
