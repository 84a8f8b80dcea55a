#!/bin/sh
# Accepted jobs are lost after the restart of an entry host. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
daemon=target/packages/daemon/cactusshelfd
driver=review/standins-3/build/stale_confirmation
[ -x "$daemon" ] && [ -x "$driver" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$driver" "$daemon" "$folder" review/12/record.txt "${TROUBLE:-1}"
