#!/usr/bin/env bash
# Runs both example deployments on loopback under load, changes and failures, and reports what held.
# usage: demo/run.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir=$1
work=$(mktemp -d)
pids=()
declare -A daemon_pid
daemon=$build_dir/apps/pollenrouted/pollenrouted
ctl=$build_dir/apps/pollenctl/pollenctl
demo="$build_dir/demo/pollen_demo -d $work"

stop_all() {
    kill "${pids[@]}" 2> /dev/null || true
    wait "${pids[@]}" 2> /dev/null || true
    [ -n "${KEEP:-}" ] && echo "logs and records: $work" || rm -rf "$work"
}
trap stop_all EXIT

now_ms() { date +%s%3N; }
event() { echo "$1 $(now_ms) $2" >> "$work/events.txt"; }
# value FLEET KEY: an address of the plan.
value() { grep -A3 "^\[$2\]" "$work/standins-$1.toml" | grep -m1 address | cut -d'"' -f2; }
set_standin() { curl -s -X POST "$1/standin/set?$2" > /dev/null; }
# backend FLEET ID: address of an engine or order server.
backend() { grep -A3 "^id = \"$2\"" "$work/standins-$1.toml" | grep -m1 address | cut -d'"' -f2; }
publish() {
    "$ctl" --log "$(value "$1" log)" --author demo --reason "$3" publish "$2" > /dev/null
}

$demo plan
touch "$work/events.txt"
for fleet in tausi razai; do
    "$build_dir/standins/standins" -c "$work/standins-$fleet.toml" > "$work/standins-$fleet.log" 2>&1 &
    pids+=($!)
done
sleep 0.5
for settings in "$work"/daemon-*.toml; do
    id=$(basename "$settings" .toml)
    id=${id#daemon-}
    "$daemon" --config "$settings" 2> "$work/$id.log" &
    daemon_pid[$id]=$!
    pids+=($!)
done
echo "8 daemons in 2 x 4 failure domains, 18 engines, 8 order servers"
for fleet in tausi razai; do publish $fleet examples/$fleet/fleet.toml "first configuration"; done
sleep 1

$demo --seconds 20 --rate 60 load &
load=$!
sleep 4
for change in "tausi clerk/v2" "razai tagai/v2"; do
    read -r fleet version <<< "$change"
    echo "withdraw $version"
    "$ctl" --log "$(value $fleet log)" --author demo --reason "answers were wrong" withdraw "$version" > /dev/null
    event withdraw "$version"
done
sleep 2
echo "publish an exception: stockists may not use horn/v1"
"$ctl" --log "$(value tausi log)" show > "$work/edited.toml"
cat >> "$work/edited.toml" <<'TOML'

[[exception]]
team = "stockists"
deny = ["horn/v1"]
reason = "the horn model misreads wholesale prices"
TOML
publish tausi "$work/edited.toml" "stockists off the horn model"
event exception stockists
sleep 2
echo "stop tausi-entry-2 and razai-entry-2 gracefully"
for id in tausi-entry-2 razai-entry-2; do
    kill -TERM "${daemon_pid[$id]}"
    event graceful "$id"
done
sleep 2
echo "tausi-engine-5 and razai-engine-6 leave"
set_standin "$(value tausi instances)" leaving.tausi-engine-5=1
event leaving tausi-engine-5
set_standin "$(value razai instances)" leaving.razai-engine-6=1
event leaving razai-engine-6
sleep 2
echo "kill tausi-entry-3 and razai-entry-3"
for id in tausi-entry-3 razai-entry-3; do
    kill -KILL "${daemon_pid[$id]}"
    event kill "$id"
done
sleep 1
echo "the logs are out for 1.5 s; engines fail, refuse and cross answers; an order server loses answers"
for fleet in tausi razai; do
    set_standin "$(value $fleet log)" outage=1
    set_standin "$(backend $fleet $fleet-engine-1)" fail=2
    set_standin "$(backend $fleet $fleet-engine-2)" cross=2
    set_standin "$(backend $fleet $fleet-engine-4)" refuse=3
done
set_standin "$(backend tausi tausi-orders-1)" lose_answers=2
set_standin "$(backend razai razai-desk-2)" lose_answers=2
event faults all
sleep 1.5
for fleet in tausi razai; do set_standin "$(value $fleet log)" outage=0; done
wait $load
# A peer notices the killed daemon and writes the bills that it holds for it.
sleep 4
for id in tausi-entry-2 razai-entry-2; do
    if kill -0 "${daemon_pid[$id]}" 2> /dev/null; then
        echo "$id has not stopped"
        exit 1
    fi
done
$demo report
