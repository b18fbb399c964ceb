#!/bin/sh
# Builds what the scripts of the review start beside the product: the stand-ins
# are Python files of the standard library alone, so they are only compiled.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review
test -d target/deps || { echo "run the build of deploy/system.toml first"; exit 2; }
