#!/usr/bin/env bash
# Goodput against offered load, with the operator's queue and levels and without: a table on standard output, a plot
# in SVG in the file named. Needs a core for ivyfleet and one for the sidecar; takes about three minutes.
#   bench/overload.sh build-bench overload.svg
set -euo pipefail
build=${1:?the build folder} plot=${2:?the SVG to write}
peak=${PEAK:-1800} # requests a second that a tenth of a core carries here
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
: >"$dir/off.toml"
printf '[levels]\non = true\n[admission]\nqueue = true\n' >"$dir/on.toml"
echo "| offered, of the peak | offered a second | in aim, off | in aim, on | refused, off | refused, on | lost, off and on |"
echo "| --- | --- | --- | --- | --- | --- | --- |"
for factor in 0.5 1 1.5 2 4 10; do
  rate=$(awk "BEGIN { print $peak * $factor }")
  for mode in off on; do
    timeout 60 "$build/ivyfleet" examples/overload.toml --rate "$rate" --length 8 --operator "$dir/$mode.toml" >"$dir/$mode" || true
  done
  awk -v factor="$factor" -v rate="$rate" '
    FNR == 1 { n++ }
    /^  served within the aim/ { aim[n] = $5 / 8 }
    /^  refused / { refused[n] = $2 / 8 }
    /^  1 lost/ { lost[n] = $3 }
    END { printf "| %s | %d | %d | %d | %d | %d | %d, %d |\n", factor, rate, aim[1], aim[2], refused[1], refused[2], lost[1], lost[2] }
  ' "$dir/off" "$dir/on" | tee -a "$dir/rows"
done
awk -F'|' -v peak="$peak" '
  { x[NR] = $2; off[NR] = $4; on[NR] = $5; if ($4 > most) most = $4; if ($5 > most) most = $5 }
  function px(v) { return 60 + 520 * log(v / 0.5) / log(20) }
  function py(v) { return 260 - 220 * v / most }
  function line(v, colour, name, at,   n, path) {
    for (n = 1; n <= NR; n++) path = path (n == 1 ? "M" : "L") px(x[n]) " " py(v[n])
    printf "<path d=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/><text x=\"480\" y=\"%d\" fill=\"%s\">%s</text>\n", path, colour, at, colour, name
  }
  END {
    print "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"620\" height=\"310\" font-family=\"sans-serif\" font-size=\"12\">"
    print "<rect width=\"620\" height=\"310\" fill=\"white\"/><path d=\"M60 40V260H580\" fill=\"none\" stroke=\"black\"/>"
    for (n = 1; n <= NR; n++) printf "<text x=\"%d\" y=\"276\" text-anchor=\"middle\">%s</text>\n", px(x[n]), x[n]
    for (n = 0; n <= 4; n++) printf "<text x=\"54\" y=\"%d\" text-anchor=\"end\">%d</text>\n", py(most * n / 4) + 4, most * n / 4
    print "<text x=\"320\" y=\"298\" text-anchor=\"middle\">offered load, of the peak</text><text x=\"60\" y=\"28\">served within the aim, a second</text>"
    line(off, "#888888", "off", 60); line(on, "#0055aa", "queue and levels", 76)
    print "</svg>"
  }' "$dir/rows" >"$plot"
