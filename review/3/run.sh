#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
case_pid=
watch_pid=

# The case ends its gateways itself; this is for one that was cut short.
clean_up() {
    [ -n "$watch_pid" ] && kill "$watch_pid" 2>/dev/null
    [ -n "$case_pid" ] && kill -KILL "$case_pid" 2>/dev/null
    [ -f "$folder/pids" ] && xargs kill -KILL <"$folder/pids" 2>/dev/null
    rm -rf "$folder"
}
trap 'clean_up; exit 2' INT TERM HUP

target/review/standin stop review/3/record.txt "$folder" &
case_pid=$!
# Ends a case that hangs, within the 120 seconds that a script may take.
(
    trap 'kill "$!"; exit' TERM
    sleep 105 &
    wait
    kill -KILL "$case_pid"
) 2>/dev/null &
watch_pid=$!
wait "$case_pid"
code=$?
case_pid=
clean_up
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
