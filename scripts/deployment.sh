# Shell functions that start and stop a small deployment on loopback: the platform's stand-in and three data
# centres, by default with one host each and one database group of three instances. Sourced by scripts/demo,
# scripts/experiment and the process tests.
#
#   deployment_start DIR     writes settings and logs into DIR, starts everything, waits until every host
#                            knows a primary of every group; HOST_COUNT and WORKLOAD (cooperativa,
#                            ashgrove) select a larger deployment
#   deployment_stop          kills what was started, by process id
#   caller HOST              prints the callers' address of host 1, 2 or 3
#   call HOST VERB JSON      sends a request as a caller; the session is kept in $SESSION_FILE
#   control INSTANCE JSON    injects a fault into instance 1, 2 or 3
#
# Ports are chosen at random from the free ones below the operating system's range of ephemeral ports, so that
# several deployments can run at a time.

DATA_CENTRES=(cali medellin bogota)
HOST_COUNT=${HOST_COUNT:-3}
WORKLOAD=${WORKLOAD:-}

# The number of instances: three groups for a workload, one for the demonstration.
instance_count() { [ -n "$WORKLOAD" ] && echo 9 || echo 3; }
hosts() { seq 1 "$HOST_COUNT"; }
instances() { seq 1 "$(instance_count)"; }

free_port() {
    local port
    while :; do
        port=$((10000 + RANDOM % 20000))
        [[ " ${USED_PORTS:-} " == *" $port "* ]] && continue
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue
        USED_PORTS="${USED_PORTS:-} $port"
        PORT=$port
        return
    done
}

# start LOG PROGRAM ARGUMENTS...: starts the program and sets PID to its process id.
start() {
    local log=$1
    shift
    "$BIN/$1" "${@:2}" >>"$DIR/$log" 2>&1 &
    PID=$!
    # Kept in a file, because a fault may start a process from a subshell.
    echo "$PID" >>"$DIR/pids"
}

write_host() {
    local i=$1
    local place=${DATA_CENTRES[$(((i - 1) % 3))]}
    cat >"$DIR/host$i.json" <<JSON
{
    "host": "$place-$(((i + 2) / 3))",
    "dataCentre": "$place",
    "callers": "127.0.0.1:${CALLER_PORT[$i]}",
    "peers": "127.0.0.1:${PEER_PORT[$i]}",
    "steward": "127.0.0.1:${STEWARD_PORT[$i]}",
    "platform": "127.0.0.1:$PLATFORM_PORT",
    "seeds": ["127.0.0.1:${STEWARD_PORT[1]}", "127.0.0.1:${STEWARD_PORT[2]}",
              "127.0.0.1:${STEWARD_PORT[3]}"],
    "logLevel": "${LOG_LEVEL:-info}"
}
JSON
}

write_team() {
    if [ -n "$WORKLOAD" ]; then
        "$BIN/cicadagap-load" --workload "$WORKLOAD" --print-settings --target "$(targets)" \
            >"$DIR/team.json"
        return
    fi
    cat >"$DIR/team.json" <<JSON
{
    // A smaller version of the Cooperativa's settings.
    "team": "valle",
    "groups": {
        "tensile": {
            "instances": {
                "t1": {"address": "127.0.0.1:${TARGET_PORT[1]}", "dataCentre": "cali"},
                "t2": {"address": "127.0.0.1:${TARGET_PORT[2]}", "dataCentre": "medellin"},
                "t3": {"address": "127.0.0.1:${TARGET_PORT[3]}", "dataCentre": "bogota"},
            },
            "slots": 3,
            "connections": 20,
        },
    },
    "statements": {
        "pull.log": {"kind": "write", "class": "entry", "neverRepeat": true},
        "pull.note": {"kind": "write", "class": "entry"},
        "pull.read": {"kind": "read", "class": "entry"},
        "certificate.check": {"kind": "read", "class": "check", "maxAgeMs": 5000},
        "history.read": {"kind": "read", "class": "history", "maxAgeMs": 60000},
    },
    "classes": {
        "entry": {"priority": "top", "reservedSlots": 1},
        "check": {"weight": 4},
        "history": {"weight": 1},
    },
    "objectives": {
        "entry": {"latencyMs": 250, "goodPercent": 99.9},
        "check": {"latencyMs": 500, "goodPercent": 99},
    },
    "timeouts": {"statementMs": ${STATEMENT_MS:-8000}},
    "tokenKeys": ["demonstration-key-2", "demonstration-key-1"],
}
JSON
}

start_target() {
    local i=$1 j
    local first=$(((i - 1) / 3 * 3 + 1))
    local members=()
    for j in $first $((first + 1)) $((first + 2)); do
        [ "$j" = "$i" ] || members+=(--member "t$j=127.0.0.1:${TARGET_PORT[$j]}")
    done
    start "target$i.log" cicadagap-standin-target --name "t$i" \
        --listen "127.0.0.1:${TARGET_PORT[$i]}" --data "$DIR/t$i.log-entries" \
        --connect-ms "${CONNECT_MS:-10}" --service-ms "${SERVICE_MS:-1}" --slots "${SLOTS:-3}" \
        --connections "${CONNECTIONS:-20}" --replication-delay-ms "${REPLICATION_MS:-0}" \
        "${members[@]}"
    TARGET_PID[$i]=$PID
}

start_host() {
    local i=$1
    start "daemon$i.log" cicadagapd --settings "$DIR/host$i.json"
    DAEMON_PID[$i]=$PID
    start "steward$i.log" cicadagap-steward --settings "$DIR/host$i.json"
    STEWARD_PID[$i]=$PID
}

# primary: prints the number of the primary instance, as the first host that answers knows it.
primary() {
    local i text
    for i in $(hosts); do
        text=$(curl -s -m 2 "http://$(caller "$i")/v1/status") || continue
        grep -o '"primary":"t[0-9]' <<<"$text" | head -1 | grep -o '[0-9]'
        return
    done
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails after that time.
wait_until() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@"; do
        [ $SECONDS -lt $deadline ] || { echo "gave up waiting for: $*" >&2; return 1; }
        sleep 0.1
    done
}

platform_answers() { curl -s -m 1 -o /dev/null "http://127.0.0.1:$PLATFORM_PORT/hosts"; }
has_primary() { [ -n "$(primary)" ]; }
# host_knows_primary HOST: whether the host knows a primary of every group.
host_knows_primary() {
    local text
    text=$(curl -s -m 2 "http://$(caller "$1")/v1/status") || return 1
    grep -q '"primary":"t' <<<"$text" && ! grep -q '"primary":""' <<<"$text"
}

deployment_start() {
    DIR=$1
    BIN=${BIN:-build}
    SESSION_FILE=$DIR/session
    mkdir -p "$DIR"
    local i
    free_port; PLATFORM_PORT=$PORT
    for i in $(hosts); do
        free_port; CALLER_PORT[$i]=$PORT
        free_port; PEER_PORT[$i]=$PORT
        free_port; STEWARD_PORT[$i]=$PORT
    done
    for i in $(instances); do
        free_port; TARGET_PORT[$i]=$PORT
    done
    start platform.log cicadagap-standin-platform --listen "127.0.0.1:$PLATFORM_PORT"
    PLATFORM_PID=$PID
    case $WORKLOAD in
    ashgrove)
        DATA_CENTRES=(vermont newhampshire maine)
        SLOTS=${SLOTS:-5} CONNECTIONS=${CONNECTIONS:-55} CONNECT_MS=${CONNECT_MS:-30}
        ;;
    esac
    write_team
    for i in $(hosts); do
        write_host "$i"
    done
    for i in $(instances); do
        start_target "$i"
    done
    wait_until 10 platform_answers
    "$BIN/cicadagap" register "$DIR"/host?.json --platform "127.0.0.1:$PLATFORM_PORT" \
        >>"$DIR/operator.log"
    "$BIN/cicadagap" apply "$DIR/team.json" --platform "127.0.0.1:$PLATFORM_PORT" \
        >>"$DIR/operator.log"
    for i in $(hosts); do
        start_host "$i"
    done
    for i in $(hosts); do
        wait_until 30 host_knows_primary "$i"
    done
}

deployment_stop() {
    local pid
    [ -f "$DIR/pids" ] || return 0
    while read -r pid; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done <"$DIR/pids"
    wait 2>/dev/null || true
    rm -f "$DIR/pids"
}

entries() { local i; for i in $(hosts); do caller "$i"; done | paste -sd,; }
targets() { local i; for i in $(instances); do echo "127.0.0.1:${TARGET_PORT[$i]}"; done | paste -sd,; }
caller() { echo "127.0.0.1:${CALLER_PORT[$1]}"; }

# call HOST VERB JSON: prints the answer; exit code of curl.
call() {
    local session=()
    [ -s "$SESSION_FILE" ] && session=(-H "cicadagap-session: $(cat "$SESSION_FILE")")
    curl -s -m 15 -D "$DIR/headers" "${session[@]}" -d "$3" \
        "http://$(caller "$1")/v1/teams/valle/groups/tensile/$2" || return
    echo
    sed -n 's/^cicadagap-session: \(.*\)\r$/\1/ip' "$DIR/headers" >"$SESSION_FILE.new"
    [ -s "$SESSION_FILE.new" ] && mv "$SESSION_FILE.new" "$SESSION_FILE"
    return 0
}

control() { curl -s -m 2 -d "$2" "http://127.0.0.1:${TARGET_PORT[$1]}/control" >/dev/null; }
