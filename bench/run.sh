#!/usr/bin/env bash
# Measures one daemon before a fast engine stand-in, and one before a slow one.
# usage: bench/run.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir=$1
work=$(mktemp -d)
pids=()
stop_all() {
    kill "${pids[@]}" 2> /dev/null || true
    wait "${pids[@]}" 2> /dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT
ulimit -n 16384

# fleet_file NAME ENGINE_PORT
fleet_file() {
    cat > "$work/$1-fleet.toml" <<TOML
[fleet]
name = "bench"
currency = "KES"
[[class]]
name = "quick"
quality_target = 0.5
deadline = "60s"
[[model]]
name = "bench"
[[model.version]]
name = "v1"
input_cost = 1
output_cost = 1
prompt_tokens_per_second = 1e6
output_tokens_per_second = 1e6
quality = { quick = 0.9 }
[[team]]
name = "bench"
key_sha256 = ["$(printf bench | sha256sum | cut -d' ' -f1)"]
default_class = "quick"
allowed = ["*"]
maximum_requests = 100000
[[backend_server]]
id = "engine"
failure_domain = "a"
address = "127.0.0.1:$2"
versions = ["bench/v1"]
TOML
}
# daemon NAME PORT
daemon() {
    cat > "$work/$1.toml" <<TOML
fleet_file = "$work/$1-fleet.toml"
[daemon]
id = "$1"
failure_domain = "a"
session_secret = "bench-secret-bench-secret"
log_level = "info"
[listen]
callers = "127.0.0.1:$2"
operators = "127.0.0.1:$(($2 + 1))"
TOML
    "$build_dir/apps/pollenrouted/pollenrouted" --config "$work/$1.toml" 2> "$work/$1.log" &
    pids+=($!)
}
cat > "$work/fast.toml" <<TOML
[[engine]]
id = "engine"
failure_domain = "a"
address = "127.0.0.1:19101"
versions = ["bench/v1"]
slots = 100000
prompt_us = 0
token_us = 0
TOML
cat > "$work/slow.toml" <<TOML
[[engine]]
id = "engine"
failure_domain = "a"
address = "127.0.0.1:19102"
versions = ["bench/v1"]
slots = 100000
prompt_us = 0
token_us = 100000
TOML
for name in fast slow; do
    "$build_dir/standins/standins" -c "$work/$name.toml" > /dev/null &
    pids+=($!)
done
fleet_file fast 19101
fleet_file slow 19102
daemon fast 19110
fast=${pids[-1]}
daemon slow 19120
slow=${pids[-1]}
sleep 1
mkdir -p "$build_dir"
rm -f "$build_dir/bench.jsonl"
status=0
"$build_dir/bench/pollen_bench" --router 127.0.0.1:19110 --engine 127.0.0.1:19101 --slow-router 127.0.0.1:19120 \
    --router-process "$fast" --slow-router-process "$slow" --output "$build_dir/bench.jsonl" || status=$?
exit $status
