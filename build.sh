#!/usr/bin/env bash
# Sets up, builds and does the common things. ./build.sh help lists them.
set -euo pipefail
cd "$(dirname "$0")"

build_dir=build

usage() {
    cat <<'TEXT'
usage: ./build.sh [COMMAND]

  build    install missing packages, configure and build (default)
  test     build, then run every test
  demo     build, then run both example deployments under changes and failures
  bench    build, then measure one daemon against a direct connection;
           with --control, what daemons spend on each other and on the platform;
           with --decisions, the time of one decision
  run      build, then run one daemon before one engine, from examples/single
  format   format every source file
  lint     check formatting and run the linter
  clean    remove the build
TEXT
}

install_packages() {
    local missing=()
    local package
    while read -r package; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
    done < packages.txt
    [ ${#missing[@]} -eq 0 ] && return
    local sudo=()
    [ "$(id -u)" -eq 0 ] || sudo=(sudo)
    "${sudo[@]}" apt-get update -qq
    DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
}

build() {
    install_packages
    cmake -S . -B "$build_dir" -G Ninja > "$build_dir.log" 2>&1 || { cat "$build_dir.log"; rm "$build_dir.log"; exit 1; }
    rm "$build_dir.log"
    cmake --build "$build_dir"
}

sources() {
    git ls-files --cached --others --exclude-standard '*.h' '*.cpp'
}

lint() {
    build
    sources | xargs clang-format --dry-run --Werror
    sources | grep '\.cpp$' | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$build_dir" 2>/dev/null
}

# Every test; those that KNOWN-RED.txt names on lines "ctest: NAME" run too, but only their result is printed.
run_tests() {
    local red
    red=$(sed -n 's/^ *ctest: *//p' KNOWN-RED.txt | paste -sd'|')
    ctest --test-dir "$build_dir" --output-on-failure -j "$(nproc)" ${red:+-E "^($red)\$"}
    [ -n "$red" ] || return 0
    echo "known red (KNOWN-RED.txt), not counted:"
    ctest --test-dir "$build_dir" -R "^($red)\$" 2> /dev/null | grep -E '^ *[0-9]+/[0-9]+ Test' || true
}

# One daemon and a stand-in for its engine, until interrupted. With an engine of your own at 127.0.0.1:9001 the stand-in
# is not started.
run_single() {
    if ! (exec 3<> /dev/tcp/127.0.0.1/9001) 2> /dev/null; then
        "$build_dir/standins/standins" -c examples/single/standins.toml > /dev/null &
        trap "kill $! 2> /dev/null || true" EXIT
    fi
    echo "pollenrouted listens on 127.0.0.1:8080; stop it with Ctrl-C"
    "$build_dir/apps/pollenrouted/pollenrouted" --config examples/single/daemon.toml
}

case "${1:-build}" in
    build) build ;;
    test) build; run_tests ;;
    demo) build; demo/run.sh "$build_dir" ;;
    bench)
        build
        case "${2:-}" in
            "") bench/run.sh "$build_dir" ;;
            --control) bench/control.sh "$build_dir" ;;
            --decisions) "$build_dir/libs/policy/policy_benchmarks" ;;
            *) usage >&2; exit 2 ;;
        esac
        ;;
    run) build; run_single ;;
    format) sources | xargs clang-format -i ;;
    lint) lint ;;
    clean) rm -rf "$build_dir" ;;
    help|--help|-h) usage ;;
    *) usage >&2; exit 2 ;;
esac
