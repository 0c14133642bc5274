# Runs one case: `NAME` is its program in `review/bin`, `RECORD` the file in which it writes what was sent, answered and run. Sourced by
# the `run.sh` of each case. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
ROOT=$(cd "$here/../.." && pwd)
export ROOT
program=$ROOT/review/bin/$NAME
: > "$RECORD" || exit 2
cannot_run() {
    echo "the case could not run: $1" | tee -a "$RECORD"
    exit 2
}
[ -x "$program" ] && [ -x "$ROOT/target/release/wheelfield-controller" ] ||
    cannot_run "the build of the deploy file and review/build.sh come first"
temp=$(mktemp -d) || cannot_run "no temporary folder"
end() {
    for file in "$temp/controller.pid" "$temp/other/controller.pid"; do
        if [ -f "$file" ]; then kill -9 "$(cat "$file")" 2>/dev/null; fi
    done
    rm -rf "$temp"
}
trap end EXIT
trap 'kill "$child" 2>/dev/null; exit 2' INT TERM
"$program" "$RECORD" "$temp" &
child=$!
wait "$child"
code=$?
[ "$code" -le 1 ] || cannot_run "its program ended with $code"
exit "$code"
