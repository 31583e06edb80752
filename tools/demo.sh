#!/bin/sh
# Starts stand-ins and three VMs on loopback, publishes both users' workspaces, sends a mixed load,
# kills one prefill engine and one entry process in the middle of it, and stops everything.
# With "serve" it sends no load and kills nothing: the VMs run until it is interrupted.
# Usage: tools/demo.sh BIN_DIRECTORY [serve]
set -u
bin=$1
mode=${2:-load}
dir=.demo
first_port=${DEMO_FIRST_PORT:-17100}
load_seconds=${DEMO_SECONDS:-15}
kill_engine_after=5
kill_entry_after=9
victim_engine=diag-llm-city-hall-p1
victim_entry=entry-loopback-vm-2
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
"$bin/pimentoquay-bench" demo-plan --directory "$dir" --first-port "$first_port" || exit 1
trap 'stop_all; exit 130' INT TERM

count=0
while read -r name program settings; do
    start "$name" "$program" "$settings"
    count=$((count + 1))
done <"$dir/processes.txt"
say "started $count processes: stand-ins, 3 VMs in 2 data centres"

# The membership list and the VMs find each other while the first try waits.
publish() { # name, template, key
    "$bin/pimentoquay-ctl" workspace create --from "$2" --set "name=$1" --set "key=$3" \
        --output "$dir/$1.workspace.ini" >/dev/null || return 1
    tries=20
    until "$bin/pimentoquay-ctl" publish "$dir/$1.workspace.ini" --config "$dir/ctl.ini"; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || return 1
        sleep 1
    done
}

while read -r name template key; do
    if ! publish "$name" "$template" "$key" </dev/null; then
        say "workspace $name did not come in force; see $dir/*.log"
        stop_all
        exit 1
    fi
done <"$dir/workspaces.txt"

if [ "$mode" = serve ]; then
    say "ready; Ctrl-C stops it"
    wait
    exit 0
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
