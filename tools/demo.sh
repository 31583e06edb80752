#!/bin/sh
# Starts stand-ins and three VMs on loopback, publishes both users' workspaces, sends a mixed load,
# kills one prefill engine and one entry process in the middle of it, and stops everything.
# Usage: tools/demo.sh BIN_DIRECTORY
set -u
bin=$1
dir=.demo
load_seconds=${DEMO_SECONDS:-15}
kill_engine_after=5
kill_entry_after=9
victim_engine=diag-llm-city-hall-p1
victim_entry=entry-vm-2
pids=""

say() { echo "demo: $*"; }

start() { # name, program, settings file
    "$bin/$2" --config "$3" >"$dir/$1.out" 2>"$dir/$1.log" &
    echo $! >"$dir/$1.pid"
    pids="$pids $!"
}

stop_all() {
    for pid in $pids; do kill -TERM "$pid" 2>/dev/null; done
    limit=100
    for pid in $pids; do
        while kill -0 "$pid" 2>/dev/null && [ "$limit" -gt 0 ]; do
            sleep 0.1
            limit=$((limit - 1))
        done
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
}

rm -rf "$dir"
"$bin/pimentoquay-bench" demo-plan --directory "$dir" || exit 1
trap 'stop_all; exit 130' INT TERM

count=0
while read -r name program settings; do
    start "$name" "$program" "$settings"
    count=$((count + 1))
done <"$dir/processes.txt"
say "started $count processes: stand-ins, 3 VMs in 2 data centres"

if ! "$bin/pimentoquay-bench" demo-publish --directory "$dir"; then
    say "the configuration did not come in force; see $dir/*.log"
    stop_all
    exit 1
fi

"$bin/pimentoquay-bench" load --plan "$dir/load.ini" --seconds "$load_seconds" &
load=$!
sleep "$kill_engine_after"
say "killing prefill engine $victim_engine"
kill -KILL "$(cat "$dir/$victim_engine.pid")"
sleep $((kill_entry_after - kill_engine_after))
say "killing entry process $victim_entry"
kill -KILL "$(cat "$dir/$victim_entry.pid")"
wait "$load"
status=$?
stop_all
exit "$status"
