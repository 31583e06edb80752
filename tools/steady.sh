#!/bin/sh
# Runs many control processes on loopback before idle engines and prints what each uses a second.
# Usage: tools/steady.sh BIN_DIRECTORY VMS ENGINES SECONDS [PROFILED_PROCESS]
# BURST=500 in the environment publishes that many changes over the second half of the time;
# FIRST_PORT=20000 says where the ports begin. A profiled control process, such as
# control-loopback-vm-7, runs under cProfile after a third of the time, and its dearest functions
# are printed.
set -u
bin=$1
vms=$2
engines=$3
seconds=$4
profiled=${5:-}
dir=.steady
pids=""

rm -rf "$dir"
"$bin/pimentoquay-bench" steady-plan --vms "$vms" --engines "$engines" --directory "$dir" \
    --first-port "${FIRST_PORT:-20000}" || exit 1
"$bin/pimentoquay-bench" fake-engines --list "$dir/engines.txt" >"$dir/engines.log" 2>&1 &
pids="$pids $!"
while read -r name program settings; do
    if [ "$name" = "$profiled" ]; then
        "$bin/python" -m pimentoquay.bench.steady.profiled $((seconds / 3)) "$dir/profile" \
            --config "$settings" \
            >"$dir/$name.out" 2>"$dir/$name.log" &
    else
        "$bin/$program" --config "$settings" >"$dir/$name.out" 2>"$dir/$name.log" &
    fi
    pids="$pids $!"
done <"$dir/processes.txt"
if [ "${BURST:-0}" -gt 0 ]; then
    log=$(sed -n 's/^listen = //p' "$dir/log.ini")
    "$bin/pimentoquay-bench" steady-burst --log "$log" --changes "$BURST" --seconds "$seconds" &
    pids="$pids $!"
fi
sleep "$seconds"
"$bin/pimentoquay-bench" steady-report "$dir"/control-*.log
status=$?
for pid in $pids; do kill -TERM "$pid" 2>/dev/null; done
wait
if [ -n "$profiled" ]; then
    "$bin/python" -c "import pstats; pstats.Stats('$dir/profile').sort_stats('tottime').print_stats(45)"
fi
exit "$status"
