#!/usr/bin/env bash
# Demo: starts three instances and four backend servers on loopback, sends chats and a booking,
# changes the configuration, kills an instance and stops the others.
set -euo pipefail
cd "$(dirname "$0")"

WORK="$(mktemp -d)"
PIDS=()
# Below the ephemeral port range, so that no outgoing connection occupies a port.
BASE_PORT="${DEMO_BASE_PORT:-$((10000 + RANDOM % 20000))}"

cleanup() {
    local status=$?
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    if [ "$status" -ne 0 ]; then
        echo "demo failed with status $status; last log lines:" >&2
        tail -n 15 "$WORK"/*.log >&2 || true
    fi
    rm -rf "$WORK"
    exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

step() { printf '%s\n' "$*"; }

retry() { # SECONDS COMMAND...: repeats the command until it succeeds or the time is over
    local end=$((SECONDS + $1))
    shift
    until "$@" > "$WORK/retry.out" 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "gave up: $*" >&2
            cat "$WORK/retry.out" >&2
            return 1
        fi
        sleep 0.1
    done
}

port() { echo $((BASE_PORT + 10 * $1 + $2)); } # INSTANCE INDEX
caller_address() { echo "127.0.0.1:$(port "$1" 0)"; }
internal_address() { echo "127.0.0.1:$(port "$1" 1)"; }
operator_address() { echo "127.0.0.1:$(port "$1" 2)"; }
peer_address() { echo "127.0.0.1:$(port "$1" 3)"; }

cli() { bin/hemlockrack "$@"; }

start_instance() { # INDEX ZONE
    mkdir -p "$WORK/data$1"
    cat > "$WORK/instance$1.toml" << TOML
[instance]
id = "i$1"
zone = "$2"
region = "r1"
[listen]
callers = "$(caller_address "$1")"
internal = "$(internal_address "$1")"
operators = "$(operator_address "$1")"
peer = "$(peer_address "$1")"
[peers]
seeds = ["$(peer_address 1)", "$(peer_address 2)", "$(peer_address 3)"]
[voter]
data_folder = "$WORK/data$1"
voters = ["i1=$(peer_address 1)", "i2=$(peer_address 2)", "i3=$(peer_address 3)"]
TOML
    bin/hemlockrackd --config "$WORK/instance$1.toml" > "$WORK/instance$1.log" 2>&1 &
    PIDS+=($!)
    eval "INSTANCE_$1=$!"
}

start_backend() { # ID ZONE SERVICE KIND INSTANCE
    java -Xmx64m -cp "hemlockrack-testing/target/*:hemlockrack-testing/target/lib/*" \
        org.hemlockrack.testing.BackendServer --id "$1" --zone "$2" --service "$3" --kind "$4" \
        --announce "$(internal_address 1)" "$(internal_address 2)" "$(internal_address 3)" \
        > "$WORK/$1.log" 2>&1 &
    PIDS+=($!)
}

backends_ready() { # INSTANCE COUNT
    [ "$(cli backends --address "$(operator_address "$1")" | grep -c READY)" -ge "$2" ]
}

chat() { # INSTANCE CHAT: prints the response headers and the events
    curl -sS -i -N --max-time 20 "http://$(caller_address "$1")/v1/chat/completions" \
        -H "Authorization: Bearer $KEY" -H "X-Chat-Id: $2" -H "X-Deadline-Ms: 10000" \
        -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"helium?"}]}'
}

served_by() { # INSTANCE CHAT: sends a chat and prints its backend server; fails if it is incomplete
    chat "$1" "$2" | tr -d '\r' > "$WORK/chat.out"
    grep -q '^data: \[DONE\]$' "$WORK/chat.out" || return 1
    sed -n 's/^[Xx]-[Ss]erved-[Bb]y: //p' "$WORK/chat.out"
}

book() { # INSTANCE KEY BODY
    curl -sS --max-time 20 "http://$(caller_address "$1")/v1/services/bookings/cylinders" \
        -H "Authorization: Bearer $KEY" -H "Idempotency-Key: $2" -H "X-Deadline-Ms: 10000" -d "$3"
}

step "building"
mvn -B -q -DskipTests package

step "starting 3 instances in 3 availability zones"
start_instance 1 a
start_instance 2 b
start_instance 3 c

KEY="ws.demo.0123456789abcdef0123456789abcdef"
SALT="00112233445566778899aabbccddeeff"
HASH="$({ printf '%s' "$SALT" | sed 's/../\\x&/g' | xargs -0 printf '%b'; printf '%s' "${KEY##*.}"; } | sha256sum | cut -d' ' -f1)"
cat > "$WORK/first.toml" << TOML
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
priority = "normal"
services = ["assistant", "bookings"]
[workspaces.demo.keys.demo]
salt = "$SALT"
hash = "$HASH"
[zones.a]
region = "r1"
[zones.b]
region = "r1"
[zones.c]
region = "r1"
TOML
retry 30 cli config patch -f "$WORK/first.toml" --base 0 --request-id first --address "$(operator_address 1)"
step "configuration: $(cat "$WORK/retry.out")"
retry 15 cli config wait 1 --address "$(operator_address 2)"
step "configuration: $(head -n 1 "$WORK/retry.out")"

step "starting 4 backend servers"
start_backend engine-a a assistant model
start_backend engine-b b assistant model
start_backend engine-c c assistant model
start_backend booking-a a bookings plain
for i in 1 2 3; do
    retry 30 backends_ready "$i" 4
done

first="$(served_by 1 chat-1)"
step "chat through i1: streamed by $first"
again="$(served_by 2 chat-1)"
step "same chat through i2: streamed by $again"
[ "$first" = "$again" ]

book 1 order-7 '{"cylinders":3}' > "$WORK/book1"
book 3 order-7 '{"cylinders":3}' > "$WORK/book2"
step "booking through i1: $(cat "$WORK/book1")"
step "same key through i3: $(cat "$WORK/book2")"
grep -q '"run":1' "$WORK/book1"
cmp "$WORK/book1" "$WORK/book2"

cat > "$WORK/second.toml" << TOML
[workspaces.demo]
priority = "high"
TOML
cli config patch -f "$WORK/second.toml" --base 1 --address "$(operator_address 2)" > "$WORK/patch.out"
step "configuration: $(cat "$WORK/patch.out")"
retry 10 cli config wait 2 --address "$(operator_address 3)"
step "configuration: $(head -n 1 "$WORK/retry.out")"

victim=2
step "killing i$victim with SIGKILL"
kill -KILL "$INSTANCE_2"
for i in 1 3 1 3; do
    retry 10 served_by "$i" chat-1
done
step "chat still served by $(cat "$WORK/retry.out")"
retry 10 book 1 order-8 '{"cylinders":1}'
step "booking still served: $(cat "$WORK/retry.out")"

step "stopping i1 and i3 gracefully"
kill -TERM "$INSTANCE_1" "$INSTANCE_3"
wait "$INSTANCE_1"
wait "$INSTANCE_3"
step "done"
