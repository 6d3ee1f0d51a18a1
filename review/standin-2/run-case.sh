#!/bin/sh
# Runs one case: `run-case.sh CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
root=$(cd "$(dirname "$0")/../.." && pwd)
router=$root/target/release/reedsail-router
driver=$root/target/review-2/release/review_standin_2
if [ ! -x "$router" ] || [ ! -x "$driver" ]; then
    echo "build the deploy file's build and review/build-2.sh first" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
WORK=$work ROUTER=$router RECORD=$2/record.txt TROUBLE=${TROUBLE:-1} timeout 110 "$driver" "$1" &
driver_id=$!
clean() {
    kill "$driver_id" 2>/dev/null
    if [ -f "$work/ids" ]; then
        while read -r id; do
            # Only a process that still runs this program is one of the case's.
            if [ "$(readlink "/proc/$id/exe")" = "$router" ]; then
                kill -KILL "$id" 2>/dev/null
            fi
        done < "$work/ids"
    fi
    rm -rf "$work"
}
trap 'clean; exit 2' INT TERM HUP
wait "$driver_id"
code=$?
clean
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
