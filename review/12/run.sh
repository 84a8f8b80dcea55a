#!/bin/sh
# Scheduled jobs with many occurrences take the memory of each owner. TROUBLE=0: one occurrence each.
cd "$(dirname "$0")/../.." || exit 2
daemon=target/packages/daemon/cactusshelfd
driver=review/standins-3/build/many_occurrences
[ -x "$daemon" ] && [ -x "$driver" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$driver" "$daemon" "$folder" review/12/record.txt "${TROUBLE:-1}"
