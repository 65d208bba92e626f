#!/bin/sh
# Makes docs/operators/transcript.md from a running fleet of 16: it asks, takes a
# zone out, watches work leave it, asks why, and brings the zone back. It fails
# where work still reaches the zone's targets 2 s after the command.
#
#   scripts/transcript.sh [FILE]
set -eu
cd "$(dirname "$0")/.."
page=${1:-docs/operators/transcript.md}
dir=$(mktemp -d)
go build -o "$dir/hemlocktally" ./cmd/hemlocktally
PATH="$dir:$PATH"
hemlocktally playground --instances 16 --load 0.3 > "$dir/fleet.log" 2>&1 &
fleet=$!
finish() {
    kill -TERM "$fleet" 2> /dev/null || true
    wait "$fleet" 2> /dev/null || true
    rm -rf "$dir"
}
trap finish EXIT
trap 'exit 1' INT TERM
tries=0
until grep -q '^ready: export' "$dir/fleet.log"; do
    tries=$((tries + 1))
    [ "$tries" -lt 200 ] || { cat "$dir/fleet.log" >&2; exit 1; }
    sleep 0.1
done
eval "$(sed -n 's/^ready: //p' "$dir/fleet.log")"
sleep 3

# run COMMAND STATEMENT: shows and runs one line of the session.
run() {
    echo "\$ hemlocktally $1 '$2'"
    hemlocktally "$1" "$2"
}
tell() { echo; echo '```tell'; echo "$1"; echo '```'; echo; echo '```text'; run tell "$1"; echo '```'; echo; }
ask() { echo; echo '```ask'; echo "$1"; echo '```'; echo; echo '```text'; run ask "$1"; echo '```'; echo; }

# served prints how many calls the targets of zone kingston-a began, by their
# own count.
served() {
    hemlocktally contracts export |
        awk '/^\[/{address = ""} /^Address = /{address = $3} /^AvailabilityZone = kingston-a$/{print address}' |
        while read -r address; do curl -s "http://$address/imitator/counters"; done |
        tr ',{}' '\n\n\n' | awk -F: '/"Started"/{s += $2} END {print s + 0}'
}

{
    echo '# A session with a fleet of 16'
    echo
    echo "Made by \`scripts/transcript.sh\` from a running fleet of 16 instances on loopback,"
    echo 'under a light load of stand-in callers. A test parses every statement and compares'
    echo "the tables' columns with the language's."
    echo
    echo '## What is in force, and where does work go?'
    ask 'show Configuration limit 3'
    ask 'show AvailabilityZones'
    ask 'show Targets where Service = holds order by Served desc'
    before=$(served)
    [ "$before" -gt 0 ] || { echo "no work went to kingston-a before the command" >&2; exit 1; }
    echo '## Take a zone out'
    tell 'take out AvailabilityZone kingston-a dry run'
    tell 'take out AvailabilityZone kingston-a wait because "rotation of kingston-a"'
    told=$(served)
    sleep 2
    first=$(served)
    sleep 2
    second=$(served)
    echo "Work that targets of kingston-a had taken before the command: $before."
    echo "At once after it: $told; 2 s after it: $first; 4 s after it: $second."
    [ "$first" = "$second" ] || { echo "work still goes to kingston-a: $first, then $second" >&2; exit 1; }
    ask 'show AvailabilityZones'
    ask 'show Targets where AvailabilityZone = kingston-a and Service = holds'
    echo '## Why?'
    ask 'explain Target holds/holds-1'
    ask 'show Revisions order by Revision desc limit 2'
    ask 'show Refusals'
    echo '## Bring it back'
    tell 'bring back AvailabilityZone kingston-a wait because "rotation done"'
    sleep 3
    ask 'show Targets where AvailabilityZone = kingston-a and Service = holds'
    echo '## One slow call, explained'
    call=$(hemlocktally ask 'show Calls order by Total desc limit 1 as JSON' | sed -n 's/.*"Call": "\(.*\)".*/\1/p')
    ask "show Calls where Call = $call"
    ask "explain Call $call"
    ask 'show Latencies where Outcome = Done and Measure = Added'
    echo '## A wrong word'
    echo
    echo '```text'
    echo "\$ hemlocktally ask 'show Targets whre State = Cold'"
    hemlocktally ask 'show Targets whre State = Cold' 2>&1 || echo "(exit code $?)"
    echo '```'
} > "$dir/page.md"
mkdir -p "$(dirname "$page")"
cp "$dir/page.md" "$page"
echo "wrote $page"
