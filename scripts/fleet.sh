# Functions that start a small fleet of stand-ins and daemons on loopback; sourced by scripts/demo and the benchmarks.
# All processes are started by start_program and ended by stop_fleet, by their process ids.

fleet_bin=${fleet_bin:-build/bin}
fleet_dir=$(mktemp -d)
fleet_pids=()
declare -A fleet_pid fleet_port
fleet_instances=()

fail() {
    echo "$(basename "$0"): $*" >&2
    exit 1
}

# start_program NAME LINES PROGRAM ARGUMENTS...: starts a program and reads that many "listening ... ADDRESS:PORT" lines;
# the ports are left in fleet_port[NAME], or fleet_port[NAME.WORD] for "listening WORD ADDRESS:PORT".
start_program() {
    local name=$1 lines=$2 fifo="$fleet_dir/$1.out" line fd
    shift 2
    mkfifo "$fifo"
    "$@" >"$fifo" 2>"$fleet_dir/$name.log" &
    fleet_pid[$name]=$!
    fleet_pids+=("$!")
    exec {fd}<"$fifo"
    while ((lines-- > 0)); do
        read -r -t 30 -u "$fd" line || { cat "$fleet_dir/$name.log" >&2; fail "$name did not start"; }
        set -- $line
        case $2 in
        on) fleet_port[$name]=${line##*:} ;;
        *) fleet_port[$name.$2]=${line##*:} ;;
        esac
    done
}

# wait_ready URL: waits until the URL answers 200.
wait_ready() {
    curl --silent --fail --output /dev/null --retry 60 --retry-delay 1 --retry-all-errors "$1" || fail "$1 is not ready"
}

# start_sidecar ID DATA_CENTRE GROUP engine|service TARGET_NAME: starts a sidecar beside a target already started.
start_sidecar() {
    local id=$1 data_centre=$2 group=$3 kind=$4 target=$5
    cat >"$fleet_dir/$id.json" <<JSON
{
    "instance": {"id": "$id", "data_centre": "$data_centre", "group": "$group"},
    "peers": {"address": "127.0.0.1", "port": 0},
    "admin": {"address": "127.0.0.1", "port": 0},
    "target": {"kind": "$kind", "url": "http://127.0.0.1:${fleet_port[$target]}"},
    "platform": {"url": "http://127.0.0.1:${fleet_port[platform]}"},
    "log": {"level": "info"}
}
JSON
    start_program "$id" 2 "$fleet_bin/medlarrack-sidecar" --settings "$fleet_dir/$id.json" --print-port
    fleet_instances+=("{\"id\":\"$id\",\"kind\":\"sidecar\",\"target\":\"$kind\",\"group\":\"$group\",\"data_centre\":\"$data_centre\",\"address\":\"127.0.0.1\",\"port\":${fleet_port[$id.peers]},\"state\":\"live\"}")
}

# start_entry ID DATA_CENTRE
start_entry() {
    local id=$1 data_centre=$2
    cat >"$fleet_dir/$id.json" <<JSON
{
    "instance": {"id": "$id", "data_centre": "$data_centre"},
    "callers": {"address": "127.0.0.1", "port": 0},
    "platform": {"url": "http://127.0.0.1:${fleet_port[platform]}"},
    "log": {"level": "info"}
}
JSON
    start_program "$id" 1 "$fleet_bin/medlarrack-entry" --settings "$fleet_dir/$id.json" --print-port
    fleet_instances+=("{\"id\":\"$id\",\"kind\":\"entry\",\"target\":\"\",\"group\":\"\",\"data_centre\":\"$data_centre\",\"address\":\"127.0.0.1\",\"port\":${fleet_port[$id.callers]},\"state\":\"live\"}")
}

# publish_instances [ID...]: publishes the instance list; the instances named are marked as leaving.
publish_instances() {
    local list
    list=$(printf '%s\n' "${fleet_instances[@]}" | jq -sc --args \
        '{instances: map(if .id as $id | $ARGS.positional | index($id) then .state = "leaving" else . end)}' "$@")
    curl --silent --fail --output /dev/null --data "$list" "http://127.0.0.1:${fleet_port[platform]}/admin/instances" \
        || fail "the platform refused the instance list"
}

# make_ticket NUMBER ADAPTERS: a ticket with two operators ("slavonska", "tuul", keys "<operator>.demo"), that many
# adapters each, and the services pivot and ledger.
make_ticket() {
    local hash_slavonska hash_tuul
    hash_slavonska=$(printf 'saltslavonska.demo' | sha256sum | cut -d' ' -f1)
    hash_tuul=$(printf 'salttuul.demo' | sha256sum | cut -d' ' -f1)
    jq -nc --argjson number "$1" --argjson adapters "$2" --arg slavonska "$hash_slavonska" --arg tuul "$hash_tuul" '
        def calls: [{method: "GET", path: "/status", idempotent: true}, {method: "POST", path: "/stop", idempotent: true},
                    {method: "POST", path: "/start", idempotent: false}];
        def operator(hash): {keys: [{salt: "salt", sha256: hash}],
                             limits: {requests_in_flight: 10000, requests_per_s: 10000}, weight: 1.0};
        {ticket: $number,
         operators: {slavonska: operator($slavonska), tuul: operator($tuul)},
         adapters: ([("slavonska", "tuul") as $operator | range($adapters) | {key: "\($operator)/a-\(.)",
            value: {base_model: "base-8b", group: "assistant", current: "v2",
                    versions: {v1: {source: "store"}, v2: {source: "store"}}}}] | from_entries),
         services: {pivot: {operators: ["slavonska"], calls: calls}, ledger: {operators: ["tuul"], calls: calls}},
         groups: {assistant: {slots: 8, batch_size: 16, stall_weight: 0.7, store_loads_per_s: 7,
                              store_loads_at_once: 3, store_transit: 24}}}'
}

# stop_program NAME: asks a program to stop and gives its exit code.
stop_program() {
    kill -TERM "${fleet_pid[$1]}"
    wait "${fleet_pid[$1]}"
}

# stop_fleet: ends every process still running.
stop_fleet() {
    local pid
    for pid in "${fleet_pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${fleet_pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$fleet_dir"
}
