#!/usr/bin/env bash
# Measures what a daemon without requests spends on control, against the number of daemons and of listed replicas.
# usage: bench/control.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir=$1
work=$(mktemp -d)
output=$build_dir/bench-control.jsonl
port=21000
seconds=10
pids=()
stop_all() {
    kill "${pids[@]}" 2> /dev/null || true
    wait "${pids[@]}" 2> /dev/null || true
    pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT
: > "$output"

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kib() { awk -v page="$(getconf PAGESIZE)" '{print $2 * page / 1024}' "/proc/$1/statm"; }
peer_bytes() { curl -s "127.0.0.1:$1/metrics" | awk '/^pollen_peer_sent_bytes/ {printf "%.0f", $2}'; }

# measure DAEMONS REPLICAS
measure() {
    local daemons=$1 replicas=$2 log=$port list=$((port + 1)) base=$((port + 10)) i
    port=$((port + 400))
    {
        echo "listed_only = $replicas"
        printf '[log]\naddress = "127.0.0.1:%s"\n[instances]\naddress = "127.0.0.1:%s"\n' "$log" "$list"
        for ((i = 0; i < daemons; ++i)); do
            printf '[[router]]\nid = "d%s"\nfailure_domain = "f%s"\naddress = "127.0.0.1:%s"\n' \
                "$i" "$((i % 4))" "$((base + 3 * i + 2))"
        done
    } > "$work/standins.toml"
    "$build_dir/standins/standins" -c "$work/standins.toml" > /dev/null &
    pids+=($!)
    sleep 0.5
    for ((i = 0; i < daemons; ++i)); do
        cat > "$work/d$i.toml" <<TOML
[daemon]
id = "d$i"
failure_domain = "f$((i % 4))"
session_secret = "bench-secret-bench-secret"
log_level = "error"
[listen]
callers = "127.0.0.1:$((base + 3 * i))"
operators = "127.0.0.1:$((base + 3 * i + 1))"
peers = "127.0.0.1:$((base + 3 * i + 2))"
[platform]
log = "127.0.0.1:$log"
instances = "127.0.0.1:$list"
TOML
        "$build_dir/apps/pollenrouted/pollenrouted" --config "$work/d$i.toml" 2> /dev/null &
        pids+=($!)
    done
    local first=${pids[1]}
    sleep 4
    local ticks_before bytes_before ticks_after bytes_after list_bytes
    ticks_before=$(ticks "$first")
    bytes_before=$(peer_bytes $((base + 1)))
    sleep $seconds
    ticks_after=$(ticks "$first")
    bytes_after=$(peer_bytes $((base + 1)))
    list_bytes=$(curl -s "127.0.0.1:$list/instances" | wc -c)
    awk -v d="$daemons" -v r="$replicas" -v t=$((ticks_after - ticks_before)) -v hz="$(getconf CLK_TCK)" \
        -v b=$((bytes_after - bytes_before)) -v s=$seconds -v k="$(resident_kib "$first")" -v l="$list_bytes" 'BEGIN {
        printf "%4d daemons %5d replicas: %5.2f%% of a core, %6.0f B/s to peers, list of %7d B, %6.1f MiB resident\n",
            d, r, 100 * t / hz / s, b / s, l, k / 1024 }'
    awk -v d="$daemons" -v r="$replicas" -v t=$((ticks_after - ticks_before)) -v hz="$(getconf CLK_TCK)" \
        -v b=$((bytes_after - bytes_before)) -v s=$seconds -v k="$(resident_kib "$first")" 'BEGIN {
        name = "control, " d " daemons, " r " replicas"
        f = "{\"scenario\":\"%s\",\"metric\":\"%s\",\"value\":%.3f,\"baseline\":0,\"bound\":%.3f,\"holds\":%s}\n"
        core = 100 * t / hz / s; mib = k / 1024
        printf f, name, "percent of a core", core, 1.9, core <= 1.9 ? "true" : "false"
        printf f, name, "bytes/s to peers", b / s, 3072, b / s <= 3072 ? "true" : "false"
        printf f, name, "resident MiB", mib, 32, mib <= 32 ? "true" : "false" }' >> "$output"
    stop_all
}

measure 2 10
measure 9 10
measure 24 10
measure 72 10
measure 2 400
measure 2 1600
measure 2 3800
