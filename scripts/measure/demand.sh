#!/usr/bin/env bash
# Starts a fleet of daemons beside one upstream on loopback, sends eight organisations' traffic at
# four fifths of their rates, and prints one JSON line: wrongful refusals, bytes of leases, CPU, memory.
# usage: demand.sh DAEMONS uniform|skewed SECONDS [daemon flags...]
set -euo pipefail
daemons=$1 arrival=$2 seconds=$3
shift 3
cd "$(dirname "$0")/../.."
source scripts/processes.sh
end_with=KILL
go build -o "$work/" ./cmd/foxtailhook ./cmd/standin ./cmd/foxtailload
net=127.$((100 + $$ % 100))
platform=$net.255.1:9000 upstream=$net.255.1:8000
"$work/standin" platform -listen "$platform" & pids+=($!)
"$work/standin" upstream -listen "$upstream" -host shared -service service-0 -slots 1000 & pids+=($!)
for ((i = 0; i < daemons; i++)); do
  at=$net.$((i / 200)).$((1 + i % 200))
  "$work/foxtailhook" -host "host-$i" -service service-0 -zone "zone-$((i % 3))" \
    -callers "$at:7000" -peers "$at:7001" -operators "$at:7002" -upstream "$upstream" -platform "$platform" \
    -log-level warn "$@" 2>"$work/host-$i.log" & pids+=($!)
  echo "{\"host\":\"host-$i\",\"zone\":\"zone-$((i % 3))\",\"peer\":\"$at:7001\",\"callers\":\"$at:7000\",\"operators\":\"$at:7002\",\"pid\":$!,\"log\":\"$work/host-$i.log\"}" >>"$work/fleet.lines"
done
paste -sd, "$work/fleet.lines" | sed 's/^/[/; s/$/]/' >"$work/fleet.json"
sleep 1
"$work/foxtailload" demand -fleet "$work/fleet.json" -platform "$platform" -arrival "$arrival" -length "${seconds}s"
