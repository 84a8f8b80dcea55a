#!/bin/sh
# Accepted jobs are lost after the restart of an entry host. TROUBLE=0: without the disruption.
# The order of events depends on the timing, so up to four rounds are played, each with new processes.
cd "$(dirname "$0")/../.." || exit 2
daemon=target/packages/daemon/cactusshelfd
driver=review/standins-3/build/stale_confirmation
[ -x "$daemon" ] && [ -x "$driver" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
: > review/12/record.txt
result=2
for round in 1 2 3 4; do
  mkdir "$folder/$round"
  "$driver" "$daemon" "$folder/$round" "$folder/record.txt" "${TROUBLE:-1}"
  code=$?
  { echo "round $round"; cat "$folder/record.txt"; } >> review/12/record.txt
  [ "$code" = 0 ] && result=0
  if [ "$code" = 1 ]; then
    result=1
    break
  fi
done
exit "$result"
