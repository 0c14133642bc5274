# Runs one case: `NAME` is its program in `review/bin`. Sourced by the `run.sh` of each case.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
export ROOT
program=$ROOT/review/bin/$NAME
if [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/wheelfield-controller" ]; then
    echo "the case could not run: the build of the deploy file and review/build.sh come first"
    exit 2
fi
temp=$(mktemp -d) || exit 2
end() {
    for file in "$temp/controller.pid" "$temp/other/controller.pid"; do
        if [ -f "$file" ]; then kill -9 "$(cat "$file")" 2>/dev/null; fi
    done
    rm -rf "$temp"
}
trap end EXIT
trap 'kill "$case" 2>/dev/null; exit 2' INT TERM
"$program" "$here" "$temp" &
case=$!
wait "$case"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
