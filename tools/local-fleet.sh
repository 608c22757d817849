#!/usr/bin/env bash
# Starts and stops a fleet of 3 to 5 instances and 4 simulated backend servers on loopback.
set -euo pipefail

usage() {
    cat >&2 << 'USAGE'
usage: tools/local-fleet.sh start DIR [INSTANCES]     3 (default) to 5 instances, 4 backend servers
       tools/local-fleet.sh stop DIR                  stops all and removes DIR
       tools/local-fleet.sh start-one DIR NAME        restarts a stopped process
       tools/local-fleet.sh stop-one DIR NAME [SIGNAL]  sends TERM or SIGNAL, waits for the exit
Build first: mvn -B -DskipTests package. LOCAL_FLEET_BASE_PORT sets the first port (default 18080).
Instance N listens on base + 10 N (callers), + 1 (internal), + 2 (operators), + 3 (peers).
USAGE
    exit 2
}

[ $# -ge 2 ] || usage
ACTION="$1"
DIR="$2"
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
STOP_SECONDS=150
START_SECONDS=60
ZONES=(a b c a b)

address() { echo "127.0.0.1:$((BASE_PORT + 10 * $1 + $2))"; } # INSTANCE INDEX

# The kernel may reuse a process id, so a process is only ours if its start time is also the recorded
# one.
start_time() { awk '{print $22}' "/proc/$1/stat" 2> /dev/null || true; }

is_running() { # NAME
    [ -f "$DIR/$1.pid" ] || return 1
    local pid time
    read -r pid time < "$DIR/$1.pid"
    [ "$(start_time "$pid")" = "$time" ]
}

launch() { # NAME COMMAND...
    local name="$1"
    shift
    "$@" >> "$DIR/$name.log" 2>&1 < /dev/null &
    echo "$! $(start_time $!)" > "$DIR/$name.pid"
    disown
}

write_settings() { # INSTANCE COUNT
    local n="$1" seeds="" voters="" i
    for i in 1 2 3; do
        seeds="$seeds${seeds:+, }\"$(address "$i" 3)\""
        voters="$voters${voters:+, }\"i$i=$(address "$i" 3)\""
    done
    cat > "$DIR/i$n.toml" << TOML
[instance]
id = "i$n"
zone = "${ZONES[$((n - 1))]}"
region = "r1"
[listen]
callers = "$(address "$n" 0)"
internal = "$(address "$n" 1)"
operators = "$(address "$n" 2)"
peer = "$(address "$n" 3)"
[peers]
seeds = [$seeds]
[voter]
voters = [$voters]
TOML
    if [ "$n" -le 3 ]; then
        echo "data_folder = \"$DIR/data$n\"" >> "$DIR/i$n.toml"
    fi
}

start_instance() { # INSTANCE
    if grep -q '^data_folder' "$DIR/i$1.toml"; then
        mkdir -p "$DIR/data$1"
    fi
    launch "i$1" "$ROOT/bin/hemlockrackd" --config "$DIR/i$1.toml"
}

start_backend() { # ID
    local id="$1" service=assistant kind=model
    if [ "${id%-*}" = booking ]; then
        service=bookings
        kind=plain
    fi
    launch "$id" java -Xmx64m \
        -cp "$ROOT/hemlockrack-testing/target/*:$ROOT/hemlockrack-testing/target/lib/*" \
        org.hemlockrack.testing.BackendServer --id "$id" --zone "${id##*-}" --service "$service" \
        --kind "$kind" --announce "$(address 1 1)" "$(address 2 1)" "$(address 3 1)"
}

start_process() { # NAME
    case "$1" in
        i[1-5]) start_instance "${1#i}" ;;
        *) start_backend "$1" ;;
    esac
}

send_signal() { # NAME SIGNAL
    local pid time
    if is_running "$1"; then
        read -r pid time < "$DIR/$1.pid"
        kill "-$2" "$pid" 2> /dev/null || true
    fi
}

await_exit() { # NAME
    local end=$((SECONDS + STOP_SECONDS))
    while is_running "$1"; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "local-fleet: $1 did not stop; killing it" >&2
            send_signal "$1" KILL
            end=$((SECONDS + STOP_SECONDS))
        fi
        sleep 0.1
    done
}

stop_process() { # NAME SIGNAL
    send_signal "$1" "$2"
    await_exit "$1"
}

stop_all() { # SIGNAL
    local file
    for file in "$DIR"/*.pid; do
        [ -f "$file" ] && send_signal "$(basename "$file" .pid)" "$1"
    done
    for file in "$DIR"/*.pid; do
        [ -f "$file" ] && await_exit "$(basename "$file" .pid)"
    done
    return 0
}

cli() { "$ROOT/bin/hemlockrack" "$@" --address "$(address 1 2)"; }

retry() { # COMMAND...: repeats the command until it succeeds or START_SECONDS are over
    local end=$((SECONDS + START_SECONDS))
    until "$@" > "$DIR/retry.out" 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "local-fleet: gave up: $*" >&2
            cat "$DIR/retry.out" >&2
            return 1
        fi
        sleep 0.2
    done
}

backends_ready() { [ "$(cli backends | grep -c READY)" -ge 4 ]; }

instances_ready() { [ "$(cli instances --json | grep -o '"ready":true' | wc -l)" -eq "$1" ]; }

write_first_configuration() {
    cat > "$DIR/first.toml" << 'TOML'
[services.assistant]
kind = "model"
models = ["assistant"]
[services.bookings]
kind = "plain"
[[services.bookings.routes]]
method = "POST"
prefix = "/"
idempotent = false
[workspaces.demo]
services = ["assistant", "bookings"]
[workspaces.demo.keys.demo]
salt = "00112233445566778899aabbccddeeff"
TOML
    local key="0123456789abcdef0123456789abcdef" hash
    hash="$({ printf '\x00\x11\x22\x33\x44\x55\x66\x77\x88\x99\xaa\xbb\xcc\xdd\xee\xff'; printf '%s' "$key"; } | sha256sum | cut -d' ' -f1)"
    echo "hash = \"$hash\"" >> "$DIR/first.toml"
    local zone
    for zone in a b c; do
        printf '[zones.%s]\nregion = "r1"\n' "$zone" >> "$DIR/first.toml"
    done
}

start_all() { # COUNT
    [ "$1" -ge 3 ] && [ "$1" -le 5 ] || usage
    if [ -e "$DIR" ]; then
        echo "local-fleet: $DIR exists; stop it first" >&2
        exit 1
    fi
    mkdir -p "$DIR"
    DIR="$(cd "$DIR" && pwd)"
    trap 'stop_all KILL; rm -rf "$DIR"' EXIT
    BASE_PORT="${LOCAL_FLEET_BASE_PORT:-18080}"
    echo "$BASE_PORT" > "$DIR/base-port"
    local i
    for i in $(seq 1 "$1"); do
        write_settings "$i" "$1"
        start_instance "$i"
    done
    write_first_configuration
    retry cli config patch -f "$DIR/first.toml" --base 0 --request-id first
    for i in engine-a engine-b engine-c booking-a; do
        start_backend "$i"
    done
    retry instances_ready "$1"
    retry backends_ready
    rm -f "$DIR/retry.out"
    trap - EXIT
    echo "started $1 instances and 4 backend servers"
    for i in $(seq 1 "$1"); do
        echo "i$i zone ${ZONES[$((i - 1))]} callers $(address "$i" 0) operators $(address "$i" 2)"
    done
    echo "bearer key: ws.demo.0123456789abcdef0123456789abcdef"
}

open_fleet() {
    if [ ! -f "$DIR/base-port" ]; then
        echo "local-fleet: no fleet in $DIR" >&2
        exit 1
    fi
    DIR="$(cd "$DIR" && pwd)"
    BASE_PORT="$(cat "$DIR/base-port")"
}

case "$ACTION" in
    start) start_all "${3:-3}" ;;
    stop)
        open_fleet
        stop_all TERM
        rm -rf "$DIR"
        ;;
    start-one)
        [ $# -eq 3 ] || usage
        open_fleet
        if is_running "$3"; then
            echo "local-fleet: $3 is already running" >&2
            exit 1
        fi
        start_process "$3"
        ;;
    stop-one)
        [ $# -ge 3 ] || usage
        open_fleet
        stop_process "$3" "${4:-TERM}"
        ;;
    *) usage ;;
esac
