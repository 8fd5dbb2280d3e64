#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
exec python3 "$here/case.py" "$here"
