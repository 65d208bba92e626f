#!/usr/bin/env bash
# Runs a platform, a target and three instances as processes, stops one instance
# with SIGSTOP past its lease while callers retry keyed work through the others,
# and lets it go on. Fails where a piece of work ran twice.
# Usage: scripts/soak_processes.sh HEMLOCKTALLY [ROUNDS]
set -euo pipefail
program="$1"
rounds="${2:-2}"
pause=8 # seconds; a lease lasts 6
base=$((20000 + $$ % 20000))
work="$(mktemp -d)"
pids=()
end() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap end EXIT

"$program" platform --listen "127.0.0.1:$base" >/dev/null & pids+=($!)
"$program" target --listen "127.0.0.1:$((base + 1))" --name holds-1 >/dev/null & pids+=($!)
instances=()
for i in 1 2 3; do
  cat >"$work/$i.ini" <<INI
[Instance]
ID = entry-$i
Zone = kingston-a
[Listen]
Callers = 127.0.0.1:$((base + 10 * i))
Peers = 127.0.0.1:$((base + 10 * i + 1))
Operators = 127.0.0.1:$((base + 10 * i + 2))
[Platform]
Store = http://127.0.0.1:$base
[Keys]
Peer = a-key-of-these-peers
Operator = a-key-of-these-operators
INI
  "$program" serve --settings "$work/$i.ini" 2>"$work/$i.log" & pids+=($!); instances+=($!)
done
cat >"$work/contracts.ini" <<INI
[AvailabilityZone kingston-a]
[Service holds]
[Target holds/holds-1]
Address = 127.0.0.1:$((base + 1))
AvailabilityZone = kingston-a
[Contract Holds]
Service = holds
PathPrefix = /holds/
Methods = POST
NonIdempotent = true
Deadline = 2s
INI
export HEMLOCKTALLY_OPERATOR_KEY=a-key-of-these-operators
sleep 3
"$program" contracts apply --at "127.0.0.1:$((base + 12))" --file "$work/contracts.ini" --because "a soak of processes"
sleep 4

# uuid7 prints a key that carries its time.
uuid7() {
  local ms
  ms="$(printf '%012x' "$(date +%s%3N)")"
  printf '%s-%s-7%03x-8%03x-%04x%04x%04x\n' "${ms:0:8}" "${ms:8:4}" $((RANDOM % 4096)) $((RANDOM % 4096)) $RANDOM $RANDOM $RANDOM
}

# one makes one piece of work, trying again with the same key.
one() {
  local key outcome
  key="$(uuid7)"
  for _ in 1 2 3 4 5 6; do
    outcome="$(curl -s -m 4 -o /dev/null -w '%header{hemlocktally-outcome}' -X POST -d hold -H "Work: once-$1" \
      -H "Idempotency-Key: $key" "http://127.0.0.1:$((base + 10 * (1 + RANDOM % 3)))/holds/$1" || true)"
    echo "${outcome:-none}" >>"$work/outcomes"
    if [ "$outcome" = Done ]; then return; fi
    sleep 0.5
  done
}

number=0
for ((round = 0; round < rounds; round++)); do
  victim="${instances[$((round % 3))]}"
  kill -STOP "$victim"
  jobs_of_round=()
  for ((n = 0; n < pause * 10; n++)); do
    number=$((number + 1))
    one "$number" & jobs_of_round+=($!)
    sleep 0.1
    if [ "$n" = $((pause * 9)) ]; then kill -CONT "$victim"; fi
  done
  wait "${jobs_of_round[@]}"
done
echo "works $number, attempts by outcome:"
sort "$work/outcomes" | uniq -c
doubled="$(curl -s "http://127.0.0.1:$((base + 1))/imitator/counters" | sed -n 's/.*"Doubled":\([0-9]*\).*/\1/p')"
echo "work doubled = $doubled"
[ "$doubled" = 0 ]
