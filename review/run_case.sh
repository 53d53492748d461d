# Sourced by the cases' run.sh: runs the built program of case N with the run command of the deploy
# file. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
number=$(basename "$case_folder")
program="$root/target/review/case-$number"
# run = "target/dunebridge --config": the settings file is put after it by the case.
run=$(sed -n 's/^run = "\(.*\) --config"$/\1/p' "$root/deploy/service.toml")
if [ ! -x "$program" ] || [ ! -x "$root/$run" ]; then
    echo "not built: run the build of deploy/service.toml and review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
child=
trap 'if [ -n "$child" ]; then kill -9 "$child" 2>/dev/null; fi; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
timeout -s KILL 119 "$program" "$folder" "$root/$run" "$case_folder/record.txt" &
child=$!
wait "$child"
status=$?
child=
for log in "$folder"/*.log; do
    [ -e "$log" ] || continue
    {
        echo "--- $(basename "$log" .log): the first 150 and the last 150 lines of its log"
        if [ "$(wc -l < "$log")" -le 300 ]; then cat "$log"; else head -n 150 "$log"; echo ...; tail -n 150 "$log"; fi
    } >> "$case_folder/record.txt"
done
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
