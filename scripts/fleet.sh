# Functions for scripts that run a fleet of separate processes on loopback. It
# is sourced; every process that it starts is ended by its pid.
#
#   fleet_start COUNT BASEPORT   platform, targets of examples/contracts/association.ini, COUNT instances
#   fleet_stop                   ends them all, instances first
#
# It sets DIR, PROGRAM, INSTANCES (pids), OTHERS (pids) and OPERATORS (addresses).

DIR=$(mktemp -d)
PROGRAM="$DIR/hemlocktally"
INSTANCES=""
OTHERS=""
OPERATORS=""
CALLERS=""
export HEMLOCKTALLY_PEER_KEY=script-peer-key-0001
export HEMLOCKTALLY_OPERATOR_KEY=script-operator-key-0001

fleet_build() {
    (cd "$(dirname "$0")/.." && go build -o "$PROGRAM" ./cmd/hemlocktally)
}

# fleet_contracts writes the association's file with addresses from BASEPORT on.
fleet_contracts() {
    awk -v port="$1" '/^Address = /{print "Address = 127.0.0.1:" port++; next} {print}' \
        "$(dirname "$0")/../examples/contracts/association.ini" > "$DIR/contracts.ini"
}

fleet_targets() {
    awk '/^\[Target /{split($2, a, "/"); sub("]", "", a[2]); name = a[2]} /^Address = /{print name, $3}' "$DIR/contracts.ini" |
    while read -r name address; do
        "$PROGRAM" target --listen "$address" --name "$name" > "$DIR/$name.log" 2>&1 &
        echo $!
    done > "$DIR/targets.pids"
    OTHERS="$OTHERS $(cat "$DIR/targets.pids")"
}

# fleet_instance NUMBER BASEPORT: three ports an instance.
fleet_instance() {
    zone=$(echo kingston-a kingston-b kingston-c | cut -d' ' -f$(($1 % 3 + 1)))
    port=$(($2 + 3 * $1))
    cat > "$DIR/entry-$1.ini" <<INI
[Instance]
ID = entry-$1
Zone = $zone
[Listen]
Callers = 127.0.0.1:$port
Peers = 127.0.0.1:$((port + 1))
Operators = 127.0.0.1:$((port + 2))
[Platform]
Store = http://127.0.0.1:$2
[Keys]
[Log]
Format = JSON
INI
    "$PROGRAM" serve --settings "$DIR/entry-$1.ini" > "$DIR/entry-$1.log" 2>&1 &
    INSTANCES="$INSTANCES $!"
    CALLERS="$CALLERS --to 127.0.0.1:$port"
    OPERATORS="$OPERATORS 127.0.0.1:$((port + 2))"
}

fleet_start() {
    fleet_build
    "$PROGRAM" platform --listen "127.0.0.1:$2" > "$DIR/platform.log" 2>&1 &
    OTHERS="$!"
    fleet_contracts $(($2 + 1000))
    fleet_targets
    number=1
    while [ "$number" -le "$1" ]; do
        fleet_instance "$number" "$2"
        number=$((number + 1))
    done
    HEMLOCKTALLY_AT=$(echo $OPERATORS | cut -d' ' -f1)
    export HEMLOCKTALLY_AT
    tries=0
    until "$PROGRAM" contracts apply --file "$DIR/contracts.ini" --wait > "$DIR/apply.log" 2>&1; do
        tries=$((tries + 1))
        [ "$tries" -lt 50 ] || { cat "$DIR/apply.log" >&2; return 1; }
        sleep 0.2
    done
    until [ "$("$PROGRAM" ask 'show Configuration where Revision > 0' | tail -n 1 | cut -d' ' -f1)" = "$1" ]; do
        tries=$((tries + 1))
        [ "$tries" -lt 100 ] || return 1
        sleep 0.2
    done
}

fleet_stop() {
    for pid in $INSTANCES; do kill -TERM "$pid" 2> /dev/null || true; done
    for pid in $INSTANCES; do wait "$pid" 2> /dev/null || true; done
    for pid in $OTHERS; do kill -TERM "$pid" 2> /dev/null || true; done
    for pid in $OTHERS; do wait "$pid" 2> /dev/null || true; done
    rm -rf "$DIR"
}
