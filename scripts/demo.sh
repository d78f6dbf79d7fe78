#!/usr/bin/env bash
# Builds and starts a small fleet on loopback, drives mixed traffic at it and
# stops all that it started. The last line on standard output is the result.
# REPORT names a folder for a report of the run, second by second.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh
say() { echo "demo: $*" >&2; }

say "building"
go build -o "$work/" ./cmd/foxtailhook ./cmd/standin ./cmd/foxtailload

say "starting the platform"
"$work/standin" platform -listen 127.0.0.1:17900 & pids+=($!)
operators=""
start() { # number host service zone next
  "$work/standin" upstream -listen "127.0.0.1:$((17300 + $1))" -daemon "127.0.0.1:$((17000 + $1))" \
    -host "$2" -service "$3" -latency 3ms -next "$5" & pids+=($!)
  "$work/foxtailhook" -host "$2" -service "$3" -zone "$4" -region pl-central \
    -callers "127.0.0.1:$((17000 + $1))" -peers "127.0.0.1:$((17100 + $1))" -operators "127.0.0.1:$((17200 + $1))" \
    -upstream "127.0.0.1:$((17300 + $1))" -platform 127.0.0.1:17900 -leave-time 300ms \
    2>"$work/$2.log" & pids+=($!)
  operators+="${operators:+,}127.0.0.1:$((17200 + $1))"
}
say "starting five daemons in three availability zones, each beside its upstream"
start 0 lookup-1 lookup a /repairs/notes
start 1 lookup-2 lookup b /repairs/notes
start 2 lookup-3 lookup c /repairs/notes
start 3 repairs-1 repairs a ""
start 4 repairs-2 repairs b ""

publish_lists 127.0.0.1:17900 scripts/demo
"$work/foxtailload" ready -operators "$operators"
say "traffic: three organisations, maker-wola at five times its rate, lookups call repairs"
"$work/foxtailload" run -plan scripts/demo/traffic.json ${REPORT:+-report "$REPORT"} >"$work/result"
say "decisions logged: $(cat "$work"/*.log | grep -c '"decision"')"
cat "$work/result"
