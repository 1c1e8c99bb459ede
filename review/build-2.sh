#!/bin/sh
# The stand-ins of the second review are one Python file and need no build. The scripts start
# the program that the deploy file builds.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.path.insert(0, "review"); sys.dont_write_bytecode = True; import standin2'
test -x target/release/bendsaddle-platform
