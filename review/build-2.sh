#!/bin/sh
# Builds the stand-ins of the second review's scripts: clients, workers and the platform.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review2 ./review/_cases2
