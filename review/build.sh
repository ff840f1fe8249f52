#!/bin/sh
# Builds what the scripts start beside the instances: the stand-ins in
# review/common, which need only Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common
