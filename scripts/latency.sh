#!/usr/bin/env bash
# Measures what the daemon adds to a call, side by side with direct calls, log lines on:
# one hop at the daemon beside the upstream, and one with a handoff from another host's daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-68}
length=${2:-20s}
source scripts/processes.sh
go build -o "$work/" ./cmd/foxtailhook ./cmd/standin ./cmd/foxtailload
"$work/standin" platform -listen 127.0.0.1:18900 & pids+=($!)
start() { # number host service
  "$work/standin" upstream -listen "127.0.0.1:$((18300 + $1))" -daemon "127.0.0.1:$((18000 + $1))" \
    -host "$2" -service "$3" -latency 0s -slots 1000 & pids+=($!)
  "$work/foxtailhook" -host "$2" -service "$3" -zone a -slots 200 \
    -callers "127.0.0.1:$((18000 + $1))" -peers "127.0.0.1:$((18100 + $1))" -operators "127.0.0.1:$((18200 + $1))" \
    -upstream "127.0.0.1:$((18300 + $1))" -platform 127.0.0.1:18900 -leave-time 100ms -log-level info \
    2>"$work/$2.log" & pids+=($!)
}
start 0 lookup-1 lookup
start 1 repairs-1 repairs
hash=$(printf latency-key | sha256sum | cut -d' ' -f1)
cat >"$work/plans.json" <<JSON
{"organisations":[{"organisation":"dealer","plan":"all","rate":100000,"burst":100000}]}
JSON
cat >"$work/uses.json" <<JSON
{"operations":[{"operation":"lookup.find","service":"lookup","method":"POST","path":"/vehicles","priority":"interactive","idempotent":true}],
 "plans":[{"plan":"all","operations":["lookup.find"]}]}
JSON
cat >"$work/keys.json" <<JSON
{"keys":[{"id":"k","organisation":"dealer","sha256":"$hash"}]}
JSON
cat >"$work/hosts.json" <<JSON
{"hosts":[{"host":"lookup-1","service":"lookup","zone":"a","peer":"127.0.0.1:18100"},
          {"host":"repairs-1","service":"repairs","zone":"a","peer":"127.0.0.1:18101"}]}
JSON
publish_lists 127.0.0.1:18900 "$work"
"$work/foxtailload" ready -operators 127.0.0.1:18200,127.0.0.1:18201
"$work/foxtailload" latency -key latency-key -rate "$rate" -length "$length" \
  -ways direct=http://127.0.0.1:18300/vehicles,hop=http://127.0.0.1:18000/lookup/vehicles,handoff=http://127.0.0.1:18001/lookup/vehicles
