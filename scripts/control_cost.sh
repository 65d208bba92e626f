#!/bin/sh
# Measures what control costs each instance of a fleet of 16, as processes of
# their own, idle and busy: processor in % of a core, memory in MB, KB a second
# to and from peers and store. Goals: 1.9% of a core, 32 MB, 14 KB a second.
# Idle is control alone. Busy adds the forwarding of calls and their grants; the
# difference by calls is the cost of a call, not of control.
#
#   scripts/control_cost.sh [INSTANCES] [SECONDS] ['CALLS_A_SECOND ...']
set -eu
. "$(dirname "$0")/fleet.sh"
count=${1:-16}
seconds=${2:-10}
rates=${3:-400 1600}
trap fleet_stop EXIT
trap 'exit 1' INT TERM

# ticks PID: processor time in clock ticks.
ticks() { awk '{sub(/^.*\) /, ""); print $12 + $13}' "/proc/$1/stat"; }
rss_kb() { awk '/^VmRSS:/{print $2}' "/proc/$1/status"; }

# metric ADDRESS NAME
metric() {
    curl -s -H "Authorization: Bearer $HEMLOCKTALLY_OPERATOR_KEY" "http://$1/metrics" |
        awk -v name="hemlocktally_$2" '$1 == name {printf "%.0f\n", $2}'
}

# sample FILE: a line for each instance.
sample() {
    : > "$1"
    n=1
    for pid in $INSTANCES; do
        address=$(echo $OPERATORS | cut -d' ' -f$n)
        echo "$(date +%s.%N) $(ticks "$pid") $(rss_kb "$pid") $(metric "$address" peer_bytes_in_total) \
$(metric "$address" peer_bytes_out_total) $(metric "$address" store_bytes_in_total) \
$(metric "$address" store_bytes_out_total) $(metric "$address" store_calls_total)" >> "$1"
        n=$((n + 1))
    done
}

# compare NAME BEFORE AFTER: mean and greatest of each figure over the instances.
compare() {
    paste -d' ' "$2" "$3" | awk -v name="$1" -v hz="$(getconf CLK_TCK)" '
        {
            t = $9 - $1; cpu = 100 * ($10 - $2) / hz / t; mb = $11 / 1024
            peer = ($12 + $13 - $4 - $5) / t / 1000; store = ($14 + $15 - $6 - $7) / t / 1000; calls = ($16 - $8) / t
            s[1] += cpu; s[2] += mb; s[3] += peer; s[4] += store; s[5] += calls; s[6] += peer + store
            v[1] = cpu; v[2] = mb; v[3] = peer; v[4] = store; v[5] = calls; v[6] = peer + store
            for (i = 1; i <= 6; i++) if (v[i] > m[i]) m[i] = v[i]
        }
        END {
            printf "| %s | %.2f (%.2f) | %.1f (%.1f) | %.1f (%.1f) | %.1f (%.1f) | %.1f (%.1f) | %.1f (%.1f) |\n",
                name, s[1]/NR, m[1], s[2]/NR, m[2], s[3]/NR, m[3], s[4]/NR, m[4], s[6]/NR, m[6], s[5]/NR, m[5]
        }'
}

fleet_start "$count" 21000
sleep 3
echo "$count instances, $seconds s each; mean (greatest) of the instances"
echo
echo "| | processor, % of a core | memory, MB | peers, KB/s | store, KB/s | both, KB/s | store calls/s |"
echo "|---|--:|--:|--:|--:|--:|--:|"
sample "$DIR/a"
sleep "$seconds"
sample "$DIR/b"
compare "idle" "$DIR/a" "$DIR/b"
for rate in $rates; do
    "$PROGRAM" callers $CALLERS --rate "$rate" --for "${seconds}s" >> "$DIR/callers.log" &
    calling=$!
    sample "$DIR/a"
    wait "$calling"
    sample "$DIR/b"
    compare "busy, $rate calls/s in all" "$DIR/a" "$DIR/b"
done
echo "| goal | 1.90 | 32.0 | | | 14.0 | |"
echo
cat "$DIR/callers.log"
