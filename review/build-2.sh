#!/bin/sh
# Builds what the scripts of review/6 to review/10 start: their stand-ins are Python files, so they are compiled.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review/standins_2
