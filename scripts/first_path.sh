#!/usr/bin/env bash
# Runs two entry instances as processes between curl, two stand-in targets and
# the stand-in platform, and checks what a caller sees. Prints PASS or FAIL for
# each check and ends with the number of failures. Needs bash, curl and Go; uses
# loopback only and ends the processes that it started.
set -uo pipefail
cd "$(dirname "$0")/.."

readonly MAX_RSS_KIB=$((64 * 1024)) # A 50 MB body that is held whole goes beyond this.
readonly LARGE_BYTES=52428800
readonly STORE=127.0.0.1:17000
readonly TARGETS=(127.0.0.1:17901 127.0.0.1:17902)
export HEMLOCKTALLY_OPERATOR_KEY=first-path-operator-key
export HEMLOCKTALLY_PEER_KEY=first-path-peer-key

work=$(mktemp -d)
pids=()
failures=0

# shellcheck disable=SC2329 # The trap calls it.
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap finish EXIT

check() { # check NAME COMMAND...
  local name=$1
  shift
  if "$@"; then
    echo "PASS $name"
  else
    echo "FAIL $name"
    failures=$((failures + 1))
  fi
}

start() { # start NAME COMMAND...: runs the program in the background.
  local name=$1
  shift
  "$work/hemlocktally" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

ready() { # ready URL: waits until it answers 200.
  for _ in $(seq 100); do
    [ "$(curl -s -o "$work/out" -w '%{http_code}' "$1")" = 200 ] && return 0
    sleep 0.1
  done
  return 1
}

settings() { # settings NUMBER: writes the settings of one instance.
  cat >"$work/entry-$1.ini" <<INI
[Instance]
ID = entry-$1
Zone = zone-$1
[Listen]
Callers = 127.0.0.1:17${1}80
Peers = 127.0.0.1:17${1}81
Operators = 127.0.0.1:17${1}82
[Platform]
Store = http://$STORE
[Limits]
SettleTime = 500ms
INI
}

contracts() {
  cat <<INI
[AvailabilityZone zone-1]
[AvailabilityZone zone-2]
[Service registry]
ProbePath = /probe
[Target registry/target-1]
Address = ${TARGETS[0]}
AvailabilityZone = zone-1
[Target registry/target-2]
Address = ${TARGETS[1]}
AvailabilityZone = zone-2
[Contract Payments]
Service = registry
PathPrefix = /payments/
NonIdempotent = true
Priority = High
Deadline = 20s
[Contract Reads]
Service = registry
PathPrefix = /log/
Deadline = 20s
INI
}

faults() { # faults JSON: sets the faults of both targets.
  for target in "${TARGETS[@]}"; do
    curl -s -o "$work/out" -X PUT -d "$1" "http://$target/imitator/faults"
  done
}

same_small() { # same_small PORT: a small answer equals the target's own.
  curl -s "http://${TARGETS[0]}/log/7?x=1" >"$work/direct"
  curl -s "http://127.0.0.1:$1/log/7?x=1" | cmp -s - "$work/direct"
}

same_download() { # same_download PORT
  curl -s "http://${TARGETS[0]}/log/large?Size=$LARGE_BYTES" >"$work/direct"
  curl -s "http://127.0.0.1:$1/log/large?Size=$LARGE_BYTES" | cmp -s - "$work/direct"
}

same_upload() { # same_upload PORT: the target sends the body back.
  curl -s -X POST --data-binary "@$work/large" "http://${TARGETS[0]}/log/up" >"$work/direct"
  curl -s -X POST --data-binary "@$work/large" "http://127.0.0.1:$1/log/up" | cmp -s - "$work/direct"
}

small_memory() { # small_memory PID
  local kib
  kib=$(awk '/VmHWM/ {print $2}' "/proc/$1/status")
  echo "     highest memory of process $1: $kib KiB, bound $MAX_RSS_KIB"
  [ "$kib" -lt "$MAX_RSS_KIB" ]
}

refused() { # refused PORT
  curl -s "http://127.0.0.1:$1/nowhere" | grep -q '"Outcome":"NotRun","Reason":"NoContract"'
}

status_is() { # status_is STATUS CURL-ARGUMENTS...
  local want=$1
  shift
  [ "$(curl -s -o "$work/out" -w '%{http_code}' "$@")" = "$want" ]
}

broken_large() { # broken_large PORT: curl must see that the answer is not whole.
  ! curl -s -f "http://127.0.0.1:$1/log/large?Size=$LARGE_BYTES" >"$work/out"
}

broken_small() { # broken_small PORT: a payment whose answer broke may have run.
  curl -s -X POST -d pay "http://127.0.0.1:$1/payments/broken" | grep -q '"Outcome":"Unknown","Reason":"AnswerBroken"'
}

pay() { # pay PORT FILE: one payment with a key, the same each time.
  curl -s -D "$2.header" -X POST -d pay -H "Idempotency-Key: $key" "http://127.0.0.1:$1/payments/1" >"$2"
}

replayed() { # The second entry returns the first one's answer, and runs nothing.
  pay 17180 "$work/first" && pay 17280 "$work/second" &&
    cmp -s "$work/first" "$work/second" &&
    grep -qi '^Hemlocktally-Replayed: true' "$work/second.header" &&
    ! grep -qi '^Hemlocktally-Replayed' "$work/first.header"
}

stopped_whole() { # A call in flight ends whole while its instance stops.
  faults '{"Slow": 100}'
  curl -s -f "http://127.0.0.1:17180/log/slow" >"$work/slow" &
  local call=$!
  sleep 0.2
  kill "${pids[3]}"
  wait "$call" && grep -q 'GET /log/slow' "$work/slow" && wait "${pids[3]}"
}

go build -o "$work/hemlocktally" ./cmd/hemlocktally || exit 1
head -c "$LARGE_BYTES" /dev/urandom >"$work/large"
key=$(printf '018f0000-0000-7000-8000-%012x' "$$")
if [ -r /proc/sys/kernel/random/uuid ]; then
  # A UUID of version 7, so that the time of the key is known.
  now=$(printf '%012x' "$(date +%s%3N)")
  key="${now:0:8}-${now:8:4}-7$(cut -c16-18 /proc/sys/kernel/random/uuid)-8$(cut -c21-36 /proc/sys/kernel/random/uuid)"
fi

start platform platform --listen "$STORE"
start target-1 target --listen "${TARGETS[0]}" --name target
start target-2 target --listen "${TARGETS[1]}" --name target
for number in 1 2; do
  settings "$number"
  start "entry-$number" serve --settings "$work/entry-$number.ini"
done
contracts >"$work/contracts.ini"
for _ in $(seq 100); do
  "$work/hemlocktally" contracts apply --at 127.0.0.1:17182 --file "$work/contracts.ini" >"$work/apply.log" 2>&1 && break
  sleep 0.1
done

for number in 1 2; do
  check "entry-$number is ready" ready "http://127.0.0.1:17${number}82/ready"
done
for number in 1 2; do
  check "entry-$number: a small answer is equal byte for byte" same_small "17${number}80"
  check "entry-$number: a 50 MB answer is equal byte for byte" same_download "17${number}80"
  check "entry-$number: a 50 MB body is passed on and comes back equal" same_upload "17${number}80"
  check "entry-$number: memory stays bounded" small_memory "${pids[$((number + 2))]}"
  check "entry-$number: a call without a contract is refused as not run" refused "17${number}80"
  check "entry-$number: a header over the limit is refused" \
    status_is 431 -H "X-Large: $(head -c 60000 /dev/zero | tr '\0' x)" "http://127.0.0.1:17${number}80/log/7"
  check "entry-$number: a body over the limit is refused" \
    status_is 413 -X POST -H "Content-Length: 99999999" -d x "http://127.0.0.1:17${number}80/log/7"
done
check "a keyed payment is answered once and replayed by the other entry" replayed
faults '{"BreakAnswer": true}'
for number in 1 2; do
  check "entry-$number: a broken large answer can't be taken for whole" broken_large "17${number}80"
  check "entry-$number: a broken small answer is refused as unknown" broken_small "17${number}80"
done
faults '{}'
check "a planned stop ends a call in flight whole and exits 0" stopped_whole

[ "$failures" -eq 0 ] || tail -n 5 "$work"/*.log
echo "$failures checks failed"
exit "$((failures > 0))"
