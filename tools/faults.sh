#!/bin/sh
# Runs seeded schedules of failures in several processes and joins what they print.
# Usage: faults.sh BIN SEED SCHEDULES STEPS JOBS
set -u
bin=$1 seed=$2 schedules=$3 steps=$4 jobs=$5
share=$(( (schedules + jobs - 1) / jobs ))
out=.faults
rm -rf "$out"
mkdir "$out"

began=$(date +%s)
pids=
job=0
while [ $((job * share)) -lt "$schedules" ]; do
    count=$((schedules - job * share))
    [ "$count" -gt "$share" ] && count=$share
    "$bin/pimentoquay-bench" faults --seed $((seed + job * share)) --schedules "$count" \
        --steps "$steps" > "$out/$job.txt" 2> "$out/$job.err" &
    pids="$pids $!"
    job=$((job + 1))
done
trap 'kill $pids 2> /dev/null' INT TERM

status=0
for pid in $pids; do
    wait "$pid" || status=1
done
seconds=$(( $(date +%s) - began ))

# The first line of each part is "N schedules in S s, M broke an invariant".
awk -v wanted="$schedules" -v seconds="$seconds" -v jobs="$job" '
    FNR == 1 { done += $1; broken += $6; next }
    /^  (answered|error|left|lost|unfinished)/ { n = $NF; $NF = ""; calls[$0] += n; next }
    { failures = failures $0 "\n" }
    END {
        printf "%d of %d schedules in %d s by %d processes, %d broke an invariant\n", \
            done, wanted, seconds, jobs, broken
        for (ending in calls) printf "  %-24s%8d\n", ending, calls[ending] | "sort"
        close("sort")
        printf "%s", failures
        exit done != wanted
    }' "$out"/*.txt || status=1
cat "$out"/*.err
exit $status
