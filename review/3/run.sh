#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
number=${folder##*/}
if [ ! -x target/release/linnetdeal ] || [ ! -x "target/review/case-$number" ]; then
    echo "not built: the deploy file's build and review/build.sh come first"
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
# Whatever ends this script, no process that it started is left.
finish() {
    kill -KILL "$driver" 2>/dev/null
    [ -f "$CASE_TMP/pids" ] && while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$CASE_TMP/pids"
    rm -rf "$CASE_TMP"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
"target/review/case-$number" "$folder" &
driver=$!
wait "$driver"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
