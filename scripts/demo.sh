#!/usr/bin/env bash
# Runs a small deployment on this machine and shows its main promises with real calls.
# Exits non-zero when a step differs from what is expected. Needs the installed package and curl.
set -uo pipefail

BASE=${FOXTAILWELL_DEMO_PORT:-18100}
DIR=$(mktemp -d)
STORE=http://127.0.0.1:$BASE
LIST=http://127.0.0.1:$((BASE + 1))
MINIONS=$((BASE + 10))
PIDS=()
FAILED=0
SECONDS=0

cleanup() {
    trap - EXIT INT TERM
    for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${PIDS[@]}"; do
        for _ in $(seq 30); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    rm -rf "$DIR"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start() { # name command...
    local name=$1
    shift
    "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
    PIDS+=($!)
    echo $! >"$DIR/$name.pid"
}

pid_of() { cat "$DIR/$1.pid"; }

step() { printf '\n== %s\n' "$1"; }

check() { # text expected seen
    printf '   %-58s expected %-14s seen %s\n' "$1" "$2" "$3"
    [ "$2" = "$3" ] || { FAILED=1; echo "   DIFFERS"; }
}

json() { # expression; reads JSON from standard input as v
    python3 -c 'import json,sys
v = json.load(sys.stdin)
print(eval(sys.argv[1]))' "$1" 2>/dev/null
}

until_is() { # seconds expected command...
    local end=$((SECONDS + $1)) expected=$2 seen=
    shift 2
    while [ "$SECONDS" -le "$end" ]; do
        seen=$("$@" 2>/dev/null)
        [ "$seen" = "$expected" ] && break
        sleep 0.1
    done
    echo "$seen"
}

callers() { echo "http://127.0.0.1:$((BASE + 100 + $1 * 10))"; }
operators() { echo "http://127.0.0.1:$((BASE + 101 + $1 * 10))"; }
scheduler_operators() { echo "http://127.0.0.1:$((BASE + 104 + $1 * 10))"; }

write_settings() { # number role zone peer-port operators-port [callers-port]
    cat >"$DIR/$2-$1.jsonc" <<EOF
{
    // Instance $1 of the demonstration.
    "instance": "own-$1", "region": "nl-oost", "availability_zone": "$3",
    "platform": {"store_url": "$STORE", "instance_list_url": "$LIST"},
    "peers": {"host": "127.0.0.1", "port": $4},
    "operators": {"host": "127.0.0.1", "port": $5},
    ${6:+"\"callers\": {\"host\": \"127.0.0.1\", \"port\": $6},"}
    "log": {"form": "json", "level": "INFO"}
}
EOF
}

start_instance() { # number zone
    local first=$((BASE + 100 + $1 * 10))
    write_settings "$1" entry "$2" $((first + 2)) $((first + 1)) "$first"
    write_settings "$1" scheduler "$2" $((first + 3)) $((first + 4))
    foxtailwell-standin register "own-$1/entry" entry "$2" "127.0.0.1:$((first + 2))" \
        --instance-list "$LIST" >/dev/null
    foxtailwell-standin register "own-$1/scheduler" scheduler "$2" "127.0.0.1:$((first + 3))" \
        --instance-list "$LIST" >/dev/null
    start "entry-$1" foxtailwell-entry --settings "$DIR/entry-$1.jsonc"
    start "scheduler-$1" foxtailwell-scheduler --settings "$DIR/scheduler-$1.jsonc"
}

admin() { foxtailwell-admin "$@" --url "$(operators 1)" --actor demo >>"$DIR/admin.out" 2>&1; }

submit() { # account class members accelerators run_s
    foxtailwell submit --url "$(callers 1)" --account "$1" --class "$2" --members "$3" \
        --accelerators "$4" --payload "{\"run_s\": $5}" --json | json 'v["jobs"][0]["id"]'
}

job() { # identifier expression
    curl -s "$(callers 2)/v1/jobs/$1" | json "$2"
}

ready() { curl -s -o /dev/null -w '%{http_code}' "$1/readyz"; }

runs_of() { # idempotency key
    local total=0 count port
    for port in $(seq "$MINIONS" $((MINIONS + 3))); do
        count=$(curl -s "http://127.0.0.1:$port/control" |
            json "sum(1 for run in v['executed'] if run[1] == '$1')")
        total=$((total + count))
    done
    echo "$total"
}

minions_control() {
    local port
    for port in $(seq "$MINIONS" $((MINIONS + 3))); do
        curl -s -o /dev/null -X POST "http://127.0.0.1:$port/control" -d "$1"
    done
}

allocation() { # zone expression over the allocation document
    curl -s "$STORE/v1/kv/alloc%2F$1" | json "(lambda d: $2)(json.loads(v['value']))"
}

finish() {
    printf '\n'
    if [ "$FAILED" = 0 ]; then
        echo "All steps as expected, $SECONDS s."
    else
        echo "Some steps differ; last lines of the logs:"
        tail -n 5 "$DIR"/*.log "$DIR"/admin.out
    fi
    exit "$FAILED"
}

step "start the platform's stand-ins and three instances"
start store foxtailwell-standin store --port "$BASE"
start list foxtailwell-standin instance-list --port $((BASE + 1))
until_is 10 200 curl -s -o /dev/null -w '%{http_code}' "$LIST/v1/instances" >/dev/null
start minions foxtailwell-standin minions --count 4 --port "$MINIONS" \
    --zones hengelo-a,enschede-b --region nl-oost --instance-list "$LIST"
start workers foxtailwell-standin workers --zones hengelo-a,enschede-b --region nl-oost \
    --per-zone 4 --per-rack 4 --instance-list "$LIST"
until_is 10 12 sh -c "curl -s $LIST/v1/instances | grep -o '\"id\"' | wc -l" >/dev/null
start_instance 1 hengelo-a
start_instance 2 enschede-b
start_instance 3 hengelo-a
until_is 10 200 curl -s -o /dev/null -w '%{http_code}' "$(operators 1)/healthz" >/dev/null
admin class set brine-check --kind request --target-ms 300 --patience-ms 3000 --no-idempotent
admin class set stability-check --kind request --target-ms 300 --patience-ms 3000 --idempotent
admin class set convergence --kind job --target-ms 60000 --idempotent
admin class set urgent-model --kind job --target-ms 5000 --idempotent
admin account set depot --slots 4
admin account set caverns --guarantee 16 --quota 64
admin account set seismic --quota 64
for n in 1 2 3; do
    check "instance $n is ready with the configuration" 200 \
        "$(until_is 10 200 ready "$(callers "$n")")"
done
[ "$FAILED" = 0 ] || finish

step "an ordinary request is answered"
answer=$(foxtailwell call stability-check --url "$(callers 2)" --account depot --body ok 2>/dev/null)
check "response of the backend server" ok "$answer"

step "a request that may not be repeated is sent twice at once through two instances"
minions_control '{"run_ms": 300}'
foxtailwell call brine-check --url "$(callers 1)" --account depot --key brine-17 --body level \
    >"$DIR/first" 2>/dev/null &
first=$!
foxtailwell call brine-check --url "$(callers 2)" --account depot --key brine-17 --body level \
    >"$DIR/second" 2>/dev/null
wait "$first"
check "responses of both copies" "level level" "$(cat "$DIR/first") $(cat "$DIR/second")"
check "runs on the backend servers" 1 "$(runs_of brine-17)"
minions_control '{"run_ms": 0}'

step "a gang of two members on adjacent accelerators runs whole"
gang=$(submit seismic convergence 2 8 2)
check "state" running "$(until_is 10 running job "$gang" 'v["state"]')"
zone=$(job "$gang" 'v["zone"]')
check "members in one zone, 8 accelerators each" "[8, 8]" \
    "$(allocation "$zone" "[len(m['accelerators']) for m in d['gangs']['$gang']['members']]")"
foxtailwell wait "$gang" --url "$(callers 3)" --timeout-s 15 >/dev/null
check "end" done "$(until_is 5 done job "$gang" 'v["state"]')"

step "an account reclaims its guaranteed shape from a borrower"
for _ in 1 2 3 4; do submit seismic convergence 2 8 60 >/dev/null; done
running_borrowers() {
    foxtailwell list --url "$(callers 1)" --account seismic --state running --json |
        json 'len(v["jobs"])'
}
check "borrowers that fill the fleet" 4 "$(until_is 10 4 running_borrowers)"
before=$(date +%s%N)
urgent=$(submit caverns urgent-model 2 8 600)
check "guaranteed gang" running "$(until_is 10 running job "$urgent" 'v["state"]')"
ms=$((($(date +%s%N) - before) / 1000000))
check "started within 5.5 s ($ms ms)" yes "$([ "$ms" -le 5500 ] && echo yes || echo no)"
check "borrowers that still run" 3 "$(until_is 5 3 running_borrowers)"

step "explain of the job that waits now"
waiting=$(foxtailwell list --url "$(callers 1)" --account seismic --state waiting --json |
    json 'v["jobs"][0]["id"]')
explanation=$(foxtailwell-admin explain job "$waiting" --scheduler-url "$(scheduler_operators 1)" --json)
check "there is a reason" yes "$([ -n "$explanation" ] && echo yes || echo no)"
echo "   $explanation"

step "one scheduler is killed while gangs run, and nothing is lost"
held=$(allocation hengelo-a "d['holder']")
number=$(echo "$held" | grep -o 'own-[0-9]' | grep -o '[0-9]')
attempt=$(job "$urgent" 'v["attempt"]')
{
    kill -KILL "$(pid_of "scheduler-$number")"
    wait "$(pid_of "scheduler-$number")"
} 2>/dev/null
new_holder() { [ "$(allocation hengelo-a "d['holder']")" != "$held" ] && echo taken; }
check "another scheduler takes the zone" taken "$(until_is 8 taken new_holder)"
check "the gang runs on, with the same attempt" "running $attempt" \
    "$(job "$urgent" 'v["state"] + " " + str(v["attempt"])')"

step "a zone is taken out and brought back"
zone=$(job "$urgent" 'v["zone"]')
admin zone out "$zone" --reason demonstration
gangs_in() { allocation "$zone" "len(d['gangs'])"; }
check "gangs in $zone" 0 "$(until_is 10 0 gangs_in)"
check "the guaranteed gang runs elsewhere" running "$(until_is 10 running job "$urgent" 'v["state"]')"
admin zone back "$zone"
busy_again() { [ "$(gangs_in)" -gt 0 ] && echo busy; }
check "work returns to $zone" busy "$(until_is 10 busy busy_again)"

step "a planned stop under load cuts no request"
minions_control '{"run_ms": 1500}'
begun_requests() {
    local port total=0
    for port in $(seq "$MINIONS" $((MINIONS + 3))); do
        total=$((total + $(curl -s "http://127.0.0.1:$port/control" |
            json "sum(1 for run in v['executed'] if run[2] == 'stability-check')")))
    done
    echo "$total"
}
before=$(begun_requests)
LOAD=()
for i in $(seq 12); do
    foxtailwell call stability-check --url "$(callers 3)" --account depot --body "$i" \
        >"$DIR/load-$i" 2>/dev/null &
    LOAD[i]=$!
done
# The stop begins once every request has reached a backend server: a client takes a second to start.
check "requests that have begun" $((before + 12)) "$(until_is 10 $((before + 12)) begun_requests)"
kill -TERM "$(pid_of entry-3)"
cut=0
for i in $(seq 12); do
    wait "${LOAD[i]}" && [ "$(cat "$DIR/load-$i")" = "$i" ] || cut=$((cut + 1))
done
check "requests cut" 0 "$cut"
stopped() { kill -0 "$(pid_of entry-3)" 2>/dev/null || echo stopped; }
check "the daemon has stopped" stopped "$(until_is 10 stopped stopped)"

finish
