#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are Python modules that use
# the standard library only, so that compiling them is all there is to do.
set -e
cd "$(dirname "$0")"
python3 -m py_compile platform2/*.py
