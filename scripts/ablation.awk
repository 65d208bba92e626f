#!/usr/bin/awk -f
# Prints the table of an ablation from the results of scripts/ablation.sh: for each
# mechanism and site the plays, the mean worth with all on, the mean difference while it
# is off, and the least and the greatest difference of a play.
{ worth[$1, $2, $3, $4] = $5; if ($6 == "broken") broken[$1, $2] = 1
  if ($1 != "-" && !(($1, $2) in seen)) { seen[$1, $2] = 1; order[++rows] = $1 SUBSEP $2 }
  key[NR] = $1 SUBSEP $2 SUBSEP $3 SUBSEP $4 }
END {
  print "| off | site | plays | all on | difference | least | greatest | |"
  print "|---|---|---|---|---|---|---|---|"
  for (r = 1; r <= rows; r++) {
    split(order[r], part, SUBSEP); n = sum = base = 0
    for (k = 1; k <= NR; k++) {
      split(key[k], p, SUBSEP)
      if (p[1] != part[1] || p[2] != part[2]) continue
      with = worth["-", p[2], p[3], p[4]]; without = worth[p[1], p[2], p[3], p[4]]
      if (with == "" || with == "failed" || without == "failed") continue
      d = without - with; n++; sum += d; base += with
      if (n == 1 || d < least) least = d
      if (n == 1 || d > most) most = d
    }
    if (!n) continue
    site = part[2]; sub(/.*\//, "", site); sub(/\.toml$/, "", site)
    printf "| %s | %s | %d | %.3f | %+.3f | %+.3f | %+.3f | %s |\n", part[1], site, n, base / n, sum / n, least, most, \
      (order[r] in broken) ? "rule broken" : ""
  }
}
