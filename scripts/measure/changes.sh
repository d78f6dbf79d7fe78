#!/usr/bin/env bash
# Starts a fleet of daemons on loopback, changes a list again and again, and
# prints one JSON line with times, bytes, CPU and memory. Stops all that it started.
# usage: changes.sh DAEMONS ZONES ORGANISATIONS CHANGES [LISTED-HOSTS] [daemon flags...]
set -euo pipefail
daemons=$1 zones=$2 organisations=$3 changes=$4 listed=${5:-0}
shift $(($# < 5 ? $# : 5))
cd "$(dirname "$0")/../.."
source scripts/processes.sh
end_with=KILL
go build -o "$work/" ./cmd/foxtailhook ./cmd/standin ./cmd/foxtailload
net=127.$((100 + $$ % 100))
platform=$net.255.1:9000
"$work/standin" platform -listen "$platform" & pids+=($!)
for ((i = 0; i < daemons; i++)); do
  at=$net.$((i / 200)).$((1 + i % 200))
  "$work/foxtailhook" -host "host-$i" -service "service-$((i % 9))" -zone "zone-$((i % zones))" \
    -callers "$at:7000" -peers "$at:7001" -operators "$at:7002" -upstream "$at:8000" -platform "$platform" "$@" \
    2>"$work/host-$i.log" & pids+=($!)
  echo "{\"host\":\"host-$i\",\"zone\":\"zone-$((i % zones))\",\"peer\":\"$at:7001\",\"callers\":\"$at:7000\",\"operators\":\"$at:7002\",\"pid\":$!,\"log\":\"$work/host-$i.log\"}" >>"$work/fleet.lines"
done
paste -sd, "$work/fleet.lines" | sed 's/^/[/; s/$/]/' >"$work/fleet.json"
sleep 1
"$work/foxtailload" changes -fleet "$work/fleet.json" -platform "$platform" -listed "$listed" \
  -organisations "$organisations" -changes "$changes"
