#!/usr/bin/env bash
# A process whose settings file gets a fraction among its bounds does not start again.
# Exits with 1 if it does not start, 0 if it does, 2 if the case could not run. TROUBLE=0: the figure stays whole.
set -u
cd "$(dirname "$0")/../.."
record=review/14/record.txt
: > "$record"
folder=$(mktemp -d)
pids=()
finish() {
    { for pid in "${pids[@]}"; do kill -KILL "$pid"; done; wait; } 2>/dev/null
    rm -rf "$folder"
    exit "$1"
}
note() { echo "$*" | tee -a "$record"; }

# The command of the deploy file, for one host.
start_server() {
    CICADAGAP_BOOT="$folder/boot.conf" target/cicadagap-sessiond >> "$folder/log" 2> "$folder/errors" &
    server=$!
    pids+=("$server")
}
# What the platform sees: the status of GET /readiness, or "no connection".
readiness() {
    exec 4<> "/dev/tcp/127.0.0.1/$ready_port" || { echo "no connection"; return; }
    printf 'GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n' >&4
    read -r -t 2 _ status _ <&4
    exec 4>&-
    echo "${status:-no answer}"
}
wait_ready() {
    for _ in $(seq 100); do
        [ "$(readiness 2>/dev/null)" = 200 ] && return 0
        kill -0 "$server" 2>/dev/null || return 1
        sleep 0.1
    done
    return 1
}
# What a caller sees: the last line of the answer to one read, or "no connection".
read_once() {
    exec 3<> "/dev/tcp/127.0.0.1/$caller_port" || { echo "no connection"; return; }
    printf 'CONNECT %s u1\r\n' "$database" >&3
    read -r -t 3 line <&3
    printf 'QUERY q%s READ a1\r\n' "$1" >&3
    while read -r -t 3 line <&3; do
        case $line in COMPLETE*|ERROR*) echo "${line%$'\r'}"; break ;; esac
    done
    exec 3>&-
}

target/review-3/standin "$folder" &
standin=$!
pids+=("$standin")
for _ in $(seq 50); do [ -s "$folder/addresses" ] && break; sleep 0.1; done
[ -s "$folder/addresses" ] || { note "the stand-ins did not start"; finish 2; }
read -r caller_port ready_port database < "$folder/addresses"

start_server
wait_ready || { note "the server was not ready with its first settings"; finish 2; }
note "first start: readiness 200; read: $(read_once 1 2>/dev/null)"

figure=6.5
[ "${TROUBLE:-1}" = 0 ] && figure=7
sed -i "s/^bounds.grace_period_s=.*/bounds.grace_period_s=$figure/" "$folder/boot.conf"
kill -HUP "$server"
note "settings file changed to bounds.grace_period_s=$figure, SIGHUP sent"
sleep 1
note "running process: readiness $(readiness 2>/dev/null); read: $(read_once 2 2>/dev/null)"

# The process is killed. A process that exits or is killed is restarted after a short delay.
kill -KILL "$server"
wait "$server" 2>/dev/null
note "process killed"
for start in 1 2 3; do
    sleep 0.5
    start_server
    if wait_ready; then
        note "start $start after the kill: readiness 200; read: $(read_once 3 2>/dev/null)"
        note "the rule held"
        finish 0
    fi
    if kill -0 "$server" 2>/dev/null; then
        note "start $start after the kill: runs, but is not ready within 10 s"
        finish 2
    fi
    wait "$server"
    note "start $start after the kill: exit code $?, $(sed "s|$folder/||" "$folder/errors"); read: $(read_once 3 2>&1 | tail -n 1)"
done
note "broken: the program does not start"
finish 1
