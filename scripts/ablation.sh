#!/usr/bin/env bash
# Measures what each mechanism is worth: plays days with all on and with one left off.
#
#   scripts/ablation.sh BENCH PLAN RESULTS [AT ONCE]
#
# BENCH is the program that plays days: BENCH run SITE DAY [--seed N] --no-cpu --why TEXT
# prints a row that begins with the day's name and has its worth in column 4. PLAN has
# lines of MECHANISM SITE DAY SEED; MECHANISM - has all on, SEED - is the site's own.
# RESULTS gets a line for each play; plays that it holds already are not played again.
# Each mechanism is left off in a checkout of its own, made of the last commit below
# TMPDIR. Entries of the bench's journal are copied into journal/.
# The table of differences: scripts/ablation.awk RESULTS.
set -euo pipefail
bench=$1 plan=$2 results=$3 at_once=${4:-3}
root=$(git rev-parse --show-toplevel)
work=$(mktemp -d "${TMPDIR:-/tmp}/ablation.XXXXXX")
touch "$results"
export bench results work

for mechanism in $(awk '!/^#/ && NF {print $1}' "$plan" | sort -u); do
  git clone -q "$root" "$work/$mechanism"
  [ "$mechanism" = - ] || sed -i "s/^Off =.*/Off = $mechanism/" "$work/$mechanism/deploy/balance.ini"
  (cd "$work/$mechanism" && "$bench" build >/dev/null)
done

play() {
  local mechanism=$1 site=$2 day=$3 seed=$4 seeds=() row worth
  grep -qxF "$*" <(cut -d' ' -f1-4 "$results") && return
  [ "$seed" = - ] || seeds=(--seed "$seed")
  row=$(cd "$work/$mechanism" &&
    timeout 900 "$bench" run "$site" "$day" "${seeds[@]}" --no-cpu --why "ablation: without $mechanism" 2>&1 | grep -E "^$day " | head -1) || true
  worth=$(awk '{print $4}' <<<"$row")
  echo "$mechanism $site $day $seed ${worth:-failed} $(grep -q BROKEN <<<"$row" && echo broken)" >>"$results"
}
export -f play
grep -v '^#' "$plan" | xargs -P "$at_once" -L 1 bash -c 'play "$@"' _

for mechanism in "$work"/*/; do
  git -C "$mechanism" status --porcelain journal | awk '{print $2}' | while read -r entry; do
    cp "$mechanism/$entry" "$root/journal/"
  done
done
rm -rf "$work"
