#!/bin/sh
# Case 4: exits with 1 if rule TWO was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
runrail=$root/target/release/runrail
standin=$root/target/review/standin-4
[ -x "$runrail" ] && [ -x "$standin" ] || { echo "not built: see review/build-2.sh"; exit 2; }
dir=$(mktemp -d) || exit 2
# It ends by itself within 60 seconds, with the routers that it started.
"$standin" "$runrail" "$dir" "$here/record.txt"
code=$?
rm -rf "$dir"
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
