#!/usr/bin/env bash
# Measures a fleet of real daemons, as processes on loopback addresses, before
# the stand-ins: bench/fleet.sh [N...], by default 15 60 120 240 nodes.
#
# For each size it prints what a node spends on control (bytes from its own
# counters at the sockets, processor time, resident memory), idle and while 20
# changes are made and nodes restart, how long each change takes to be in force
# on the last node, and the calls that reach the platform. Needs curl and jq.
#
# WARM, IDLE, CHANGES and PAUSE (seconds, seconds, count, seconds) change how
# long it runs. The control traffic of a fleet that has just started as a whole
# is no idle traffic, so WARM passes before the first figure is taken;
# results go to OUT (target/fleet).
set -euo pipefail
cd "$(dirname "$0")/.."

WARM=${WARM:-60}
IDLE=${IDLE:-30}
CHANGES=${CHANGES:-20}
PAUSE=${PAUSE:-1}
OUT=${OUT:-target/fleet}
SIZES=("$@")
[ ${#SIZES[@]} -gt 0 ] || SIZES=(15 60 120 240)

CENTRES=7          # data centres, in two regions
UPSTREAMS=60       # the most upstreams, each a stand-in of its own
RESTARTED=5        # the last nodes restart in turn, the others are measured
PROCESSES=320      # the most processes at a time
TICKS=$(getconf CLK_TCK)
BIN=target/release

cargo build -q --release -p catkinusherd -p catkinusher -p catkinusher-fakes --bins --example standin --example plot
mkdir -p "$OUT"
OUT=$(cd "$OUT" && pwd)
csv=$OUT/fleet.csv
echo "nodes,phase,bytes,busiest,writes,cpu,rss,rss_most,reads,platform_writes,p50,p90,p100" > "$csv"

pids=()

# Kills the processes that this script started, and no others.
stop_all() {
    local pid
    [ ${#pids[@]} -eq 0 ] && return
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Starts a stand-in and stores the address that it prints in `addr`.
standin() {
    local log=$1
    shift
    : > "$log"
    "$BIN/examples/standin" "$@" >> "$log" 2> "$log.err" &
    pids+=($!)
    until grep -q '^listening ' "$log"; do sleep 0.05; done
    addr=$(sed -n 's/^listening //p' "$log")
}

address() { echo "127.1.$(($1 / 250)).$(($1 % 250 + 1))"; }
centre() { echo "centre-$(($1 % CENTRES + 1))"; }

settings() {
    local ip
    ip=$(address "$1")
    cat <<TOML
[node]
name = "node-$1"
data_centre = "$(centre "$1")"
[listen]
callers = "$ip:7001"
peers = "$ip:7002"
admin = "$ip:7003"
[platform]
objects = "$objects"
vms = "$vms"
[peer]
secret = "a secret of the measurement"
TOML
}

node_start() {
    "$BIN/catkinusherd" --settings "$dir/node-$1.toml" 2>> "$dir/node-$1.log" &
    node_pids[$1]=$!
    pids+=($!)
}

# 600 upstreams before 360 nodes would be 5 for 3, as far as processes allow.
upstreams() { echo $(($1 * 5 / 3 < UPSTREAMS ? $1 * 5 / 3 : UPSTREAMS)); }

inventory() {
    local n=$1 c u
    for ((c = 1; c <= CENTRES; c++)); do
        printf '[[data_centre]]\nname = "centre-%d"\nregion = "region-%d"\n' "$c" "$((c % 2 + 1))"
        printf '[[vm]]\nname = "host-%d"\ndata_centre = "centre-%d"\n' "$c" "$c"
    done
    printf '[[service]]\nname = "model"\nkind = "model"\nmodels = ["model-8b"]\ntimeout = "30s"\ntimeout_cap = "10min"\n'
    printf '[service.engine]\nmemory = "500k"\nprefill = 40000\ndecode = 50\nstreams = 32\nchunk = "2k"\ncold_streams = 4\n'
    for ((u = 0; u < $(upstreams "$n"); u++)); do
        c=$((u % CENTRES + 1))
        printf '[[upstream]]\nname = "up-%d"\nservice = "model"\nvm = "host-%d"\naddress = "127.2.0.%d:8000"\n' "$u" "$c" "$((u + 1))"
    done
    printf '[[customer]]\nname = "bench"\nkey_sha256 = "%064d"\n' 0
}

vm_list() {
    local n=$1 i
    for ((i = 0; i < n; i++)); do
        printf '{"vm":"node-%d","address":"%s:7002","data_centre":"%s","role":"entry","state":"live"}\n' \
            "$i" "$(address "$i")" "$(centre "$i")"
    done | jq -s '{vms: .}'
}

# Prints the status document of each of the first `count` nodes.
ask() {
    local count=$1 i urls=()
    for ((i = 0; i < count; i++)); do urls+=("http://$(address "$i"):7003/admin/status"); done
    curl -s --max-time 60 "${urls[@]}" || true
}

# Lines of: node sent received writes reads platform-writes cpu-ticks rss-kB
snapshot() {
    local count=$1 i stat
    ask "$count" | jq -r '[.node, .traffic.sent, .traffic.received, .traffic.writes, .calls.reads, .calls.writes] | @tsv' > "$dir/told"
    for ((i = 0; i < count; i++)); do
        read -ra stat < "/proc/${node_pids[$i]}/stat"
        echo "node-$i $((stat[13] + stat[14])) $(awk '/^VmRSS/ {print $2}' "/proc/${node_pids[$i]}/status")"
    done > "$dir/spent"
    join <(sort "$dir/told") <(sort "$dir/spent")
}

# Prints the differences between two snapshots as fields of the CSV.
between() {
    join "$1" "$2" | awk -v time="$3" -v ticks="$TICKS" '{
        bytes = ($9 + $10 - $2 - $3) / time; sum += bytes; if (bytes > most) most = bytes
        writes += ($11 - $4) / time; reads += ($12 - $5) / time; puts += ($13 - $6) / time
        cpu += ($14 - $7) / ticks / time * 100; rss += $15; if ($15 > high) high = $15
    } END { printf "%.0f,%.0f,%.1f,%.2f,%.0f,%d,%.2f,%.2f", sum/NR, most, writes/NR, cpu/NR, rss/NR, high, reads, puts }'
}

calls() { curl -s "http://$objects/_records" | jq -c '.counts'; }

# Prints the calls a second by kind between two counts.
by_kind() {
    jq -rn --argjson a "$1" --argjson b "$2" --arg t "$3" '
        ($a | map({key: "\(.kind) \(.call)", value: .count}) | from_entries) as $before
        | $b | map("\(.kind) \(.call) \(((.count - ($before["\(.kind) \(.call)"] // 0)) / ($t | tonumber) * 100 | round) / 100)") | join(", ")'
}

# Waits until the first `count` nodes are ready and know `n` members.
settle() {
    local count=$1 n=$2 turn
    for ((turn = 0; turn < 120; turn++)); do
        if [ "$(ask "$count" | jq -s --argjson n "$n" 'map(select(.unready == null and (.members | length) == $n)) | length')" = "$count" ]; then
            return
        fi
        sleep 1
    done
    echo "fleet: $n nodes did not settle" >&2
    ask "$count" | jq -s -c 'map({unready, m: (.members | length)}) | group_by(.) | map([.[0], length])' >&2
    return 1
}

# Makes change `number` and stores the time until the last of `count` nodes has it, in ms, in `took`.
change() {
    local number=$1 count=$2 begin version end turn word=drain wait=(--wait 0)
    if ((number % 2 == 0)); then word=undrain wait=(); fi
    begin=$(date +%s%N)
    version=$("$BIN/catkinusher" "$word" upstream up-0 "${wait[@]}" --objects "$objects" --author bench \
        | sed -n 's/^v\([0-9]*\) stands.*/\1/p')
    for ((turn = 0; turn < 200; turn++)); do
        if [ "$(cat "${stable[@]}" | grep -c "version $version is in force")" -ge "$count" ]; then
            end=$(cat "${stable[@]}" | grep "version $version is in force" | awk '{print $1}' | sort | tail -1)
            took=$((($(date -d "$end" +%s%N) - begin) / 1000000))
            return
        fi
        sleep 0.1
    done
    echo "fleet: change $version is not in force on all of $count nodes" >&2
    return 1
}

measure() {
    local n=$1 i c begin before after time nodes=$((n - RESTARTED)) restarted
    dir=$OUT/$n
    rm -rf "$dir"
    mkdir -p "$dir"
    node_pids=()
    stable=()
    standin "$dir/object" object --listen 127.0.0.1:0
    objects=$addr
    vm_list "$n" > "$dir/vms.json"
    standin "$dir/vms" vms --listen 127.0.0.1:0 --vms "$dir/vms.json"
    vms=$addr
    for ((c = 1; c <= $(upstreams "$n"); c++)); do
        standin "$dir/engine-$c" engine --listen "127.2.0.$c:8000" --warm --model model-8b=1
    done
    inventory "$n" > "$dir/inventory.toml"
    "$BIN/catkinusher" apply "$dir/inventory.toml" --objects "$objects" --author bench > "$dir/apply"
    for ((i = 0; i < n; i++)); do
        settings "$i" > "$dir/node-$i.toml"
        if ((i < nodes)); then stable+=("$dir/node-$i.log"); fi
        node_start "$i"
    done
    settle "$n" "$n"
    sleep "$WARM"

    snapshot "$nodes" > "$dir/idle-1"
    before=$(calls)
    begin=$(date +%s%N)
    sleep "$IDLE"
    snapshot "$nodes" > "$dir/idle-2"
    after=$(calls)
    time=$(awk "BEGIN {print ($(date +%s%N) - $begin) / 1e9}")
    echo "$n,idle,$(between "$dir/idle-1" "$dir/idle-2" "$time"),,," >> "$csv"
    echo "$n idle: object API calls/s: $(by_kind "$before" "$after" "$time")"

    before=$(calls)
    begin=$(date +%s%N)
    : > "$dir/took"
    for ((i = 1; i <= CHANGES; i++)); do
        if ((i % 4 == 0)); then
            restarted=$((nodes + i / 4 % RESTARTED))
            kill -TERM "${node_pids[$restarted]}"
            wait "${node_pids[$restarted]}" || true
            node_start "$restarted"
        fi
        change "$i" "$nodes"
        echo "$took" >> "$dir/took"
        sleep "$PAUSE"
    done
    snapshot "$nodes" > "$dir/busy"
    after=$(calls)
    time=$(awk "BEGIN {print ($(date +%s%N) - $begin) / 1e9}")
    echo "$n,change,$(between "$dir/idle-2" "$dir/busy" "$time"),$(sort -n "$dir/took" \
        | awk '{t[NR] = $1} END {print t[int((NR + 1) / 2)] "," t[int(NR * 0.9 + 0.5)] "," t[NR]}')" >> "$csv"
    echo "$n change: object API calls/s: $(by_kind "$before" "$after" "$time")"
    echo "$n change: ms until in force: $(sort -n "$dir/took" | tr '\n' ' ')"
    stop_all
}

half=$(awk '/^MemTotal/ {print int($2 / 2)}' /proc/meminfo)
each=0
for n in "${SIZES[@]}"; do
    if ((n + $(upstreams "$n") + 2 > PROCESSES || n * each > half)); then
        echo "fleet: $n nodes left out: over $PROCESSES processes or half of the memory"
        continue
    fi
    echo "$n nodes, load $(cut -d' ' -f1-3 /proc/loadavg)"
    measure "$n"
    each=$(awk -F, 'END {print $8}' "$csv")
done
column -s, -t "$csv"
"$BIN/examples/plot" "$csv" "$OUT/fleet.svg"
echo "written: $csv $OUT/fleet.svg"
