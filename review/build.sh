#!/bin/sh
# Builds the stand-ins that the scripts of review/*/run.sh start. The programs of the
# project itself come from the line "build" of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/harness ./review/tools/harness
