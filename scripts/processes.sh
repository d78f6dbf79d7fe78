# Sourced by the scripts that start processes: a folder for the run in $work, and
# an end for all whose ids are in pids, by the signal in end_with.
work=$(mktemp -d)
pids=()
end_with=TERM
stop() {
  for pid in "${pids[@]}"; do kill -"$end_with" "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT

publish_lists() { # platform folder: all four lists, once the platform answers
  local list
  for list in plans uses keys hosts; do
    for _ in $(seq 50); do
      "$work/foxtailload" publish -platform "$1" -list "$list" -file "$2/$list.json" 2>/dev/null && break
      sleep 0.1
    done
  done
}
