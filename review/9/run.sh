#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
standin=$root/target/review-2/standin
if [ ! -x "$standin" ] || [ ! -x "$root/target/release/wheelfield-controller" ]; then
    echo "build first: the command of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
exec "$standin" large-statements "$root" "$folder"
