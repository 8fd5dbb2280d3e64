#!/bin/sh
# The stand-ins need Python's standard library only; this checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -S -c 'import standins.case, standins.deployment, standins.servers'
