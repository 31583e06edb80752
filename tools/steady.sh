#!/bin/sh
# Runs many control processes on loopback before idle engines and prints what each uses a second.
# Usage: tools/steady.sh BIN_DIRECTORY VMS ENGINES SECONDS
set -u
bin=$1
vms=$2
engines=$3
seconds=$4
dir=.steady
pids=""

rm -rf "$dir"
"$bin/pimentoquay-bench" steady-plan --vms "$vms" --engines "$engines" --directory "$dir" || exit 1
"$bin/pimentoquay-bench" fake-engines --list "$dir/engines.txt" >"$dir/engines.log" 2>&1 &
pids="$pids $!"
while read -r name program settings; do
    "$bin/$program" --config "$settings" >"$dir/$name.out" 2>"$dir/$name.log" &
    pids="$pids $!"
done <"$dir/processes.txt"
sleep "$seconds"
"$bin/pimentoquay-bench" steady-report "$dir"/control-*.log
status=$?
for pid in $pids; do kill -TERM "$pid" 2>/dev/null; done
wait
exit "$status"
