#!/usr/bin/env bash
# Starts the deployment of Kilele Wax Works on this machine: three
# source replicas, and a daemon with a test upstream for each worker. Ctrl-C
# stops all processes. Pass --init for the first start only: it makes a new
# group of replicas, and the daemons start without earlier claims.
set -eu
cd "$(dirname "$0")/../.."
go build -o bin/endivewalk ./cmd/endivewalk
mkdir -p data/logs
first=()
if [ "${1:-}" = --init ]; then first=(--first-claims); fi
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT INT TERM
run() { local log=$1; shift; bin/endivewalk "$@" >>"data/logs/$log" 2>&1 & pids+=($!); }
run kilele-source-1.log source --settings examples/kilele/source-1.jsonc "$@"
run kilele-source-2.log source --settings examples/kilele/source-2.jsonc "$@"
run kilele-source-3.log source --settings examples/kilele/source-3.jsonc "$@"
run kilele-availability-1.log daemon --settings examples/kilele/availability-1.jsonc ${first[@]+"${first[@]}"}
run kilele-availability-1-worker.log standin --service availability --version v1 --id availability-1-v1 --address 127.0.11.10:9000 --daemon 127.0.11.10:8003 --slots 9 --connections 110
run kilele-availability-2.log daemon --settings examples/kilele/availability-2.jsonc ${first[@]+"${first[@]}"}
run kilele-availability-2-worker.log standin --service availability --version v1 --id availability-2-v1 --address 127.0.11.11:9000 --daemon 127.0.11.11:8003 --slots 9 --connections 110
run kilele-availability-3.log daemon --settings examples/kilele/availability-3.jsonc ${first[@]+"${first[@]}"}
run kilele-availability-3-worker.log standin --service availability --version v1 --id availability-3-v1 --address 127.0.11.12:9000 --daemon 127.0.11.12:8003 --slots 9 --connections 110
run kilele-booking-1.log daemon --settings examples/kilele/booking-1.jsonc ${first[@]+"${first[@]}"}
run kilele-booking-1-worker.log standin --service booking --version v1 --id booking-1-v1 --address 127.0.11.13:9000 --daemon 127.0.11.13:8003 --slots 9 --connections 110
run kilele-booking-2.log daemon --settings examples/kilele/booking-2.jsonc ${first[@]+"${first[@]}"}
run kilele-booking-2-worker.log standin --service booking --version v1 --id booking-2-v1 --address 127.0.11.14:9000 --daemon 127.0.11.14:8003 --slots 9 --connections 110
run kilele-booking-3.log daemon --settings examples/kilele/booking-3.jsonc ${first[@]+"${first[@]}"}
run kilele-booking-3-worker.log standin --service booking --version v1 --id booking-3-v1 --address 127.0.11.15:9000 --daemon 127.0.11.15:8003 --slots 9 --connections 110
run kilele-stock-1.log daemon --settings examples/kilele/stock-1.jsonc ${first[@]+"${first[@]}"}
run kilele-stock-1-worker.log standin --service stock --version v1 --id stock-1-v1 --address 127.0.11.16:9000 --daemon 127.0.11.16:8003 --slots 9 --connections 110
run kilele-stock-2.log daemon --settings examples/kilele/stock-2.jsonc ${first[@]+"${first[@]}"}
run kilele-stock-2-worker.log standin --service stock --version v1 --id stock-2-v1 --address 127.0.11.17:9000 --daemon 127.0.11.17:8003 --slots 9 --connections 110
run kilele-stock-3.log daemon --settings examples/kilele/stock-3.jsonc ${first[@]+"${first[@]}"}
run kilele-stock-3-worker.log standin --service stock --version v1 --id stock-3-v1 --address 127.0.11.18:9000 --daemon 127.0.11.18:8003 --slots 9 --connections 110
echo "Kilele Wax Works runs; sources: 127.0.11.1:7200,127.0.11.2:7200,127.0.11.3:7200"
wait
