#!/usr/bin/env bash
# Starts the deployment of the Water and Power Board on this machine: three
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
run board-source-1.log source --settings examples/board/source-1.jsonc "$@"
run board-source-2.log source --settings examples/board/source-2.jsonc "$@"
run board-source-3.log source --settings examples/board/source-3.jsonc "$@"
run board-meter-1.log daemon --settings examples/board/meter-1.jsonc ${first[@]+"${first[@]}"}
run board-meter-1-worker.log standin --service meter --version v1 --id meter-1-v1 --address 127.0.12.10:9000 --daemon 127.0.12.10:8003 --slots 6 --connections 120
run board-meter-2.log daemon --settings examples/board/meter-2.jsonc ${first[@]+"${first[@]}"}
run board-meter-2-worker.log standin --service meter --version v1 --id meter-2-v1 --address 127.0.12.11:9000 --daemon 127.0.12.11:8003 --slots 6 --connections 120
run board-meter-3.log daemon --settings examples/board/meter-3.jsonc ${first[@]+"${first[@]}"}
run board-meter-3-worker.log standin --service meter --version v1 --id meter-3-v1 --address 127.0.12.12:9000 --daemon 127.0.12.12:8003 --slots 6 --connections 120
run board-billing-1.log daemon --settings examples/board/billing-1.jsonc ${first[@]+"${first[@]}"}
run board-billing-1-worker.log standin --service billing --version v1 --id billing-1-v1 --address 127.0.12.13:9000 --daemon 127.0.12.13:8003 --slots 6 --connections 120
run board-billing-2.log daemon --settings examples/board/billing-2.jsonc ${first[@]+"${first[@]}"}
run board-billing-2-worker.log standin --service billing --version v1 --id billing-2-v1 --address 127.0.12.14:9000 --daemon 127.0.12.14:8003 --slots 6 --connections 120
run board-billing-3.log daemon --settings examples/board/billing-3.jsonc ${first[@]+"${first[@]}"}
run board-billing-3-worker.log standin --service billing --version v1 --id billing-3-v1 --address 127.0.12.15:9000 --daemon 127.0.12.15:8003 --slots 6 --connections 120
run board-quota-1.log daemon --settings examples/board/quota-1.jsonc ${first[@]+"${first[@]}"}
run board-quota-1-worker.log standin --service quota --version v1 --id quota-1-v1 --address 127.0.12.16:9000 --daemon 127.0.12.16:8003 --slots 6 --connections 120
run board-quota-2.log daemon --settings examples/board/quota-2.jsonc ${first[@]+"${first[@]}"}
run board-quota-2-worker.log standin --service quota --version v1 --id quota-2-v1 --address 127.0.12.17:9000 --daemon 127.0.12.17:8003 --slots 6 --connections 120
run board-quota-3.log daemon --settings examples/board/quota-3.jsonc ${first[@]+"${first[@]}"}
run board-quota-3-worker.log standin --service quota --version v1 --id quota-3-v1 --address 127.0.12.18:9000 --daemon 127.0.12.18:8003 --slots 6 --connections 120
run board-quota-4.log daemon --settings examples/board/quota-4.jsonc ${first[@]+"${first[@]}"}
run board-quota-4-worker.log standin --service quota --version v1 --id quota-4-v1 --address 127.0.12.19:9000 --daemon 127.0.12.19:8003 --slots 6 --connections 120
echo "the Water and Power Board runs; sources: 127.0.12.1:7200,127.0.12.2:7200,127.0.12.3:7200"
wait
