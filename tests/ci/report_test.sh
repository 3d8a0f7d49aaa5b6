#!/usr/bin/env bash
# Tests dunlinknot-report with a small history: counts, plots, escaping of markup in names, and the
# rejection of a malformed line.
# Usage: report_test.sh PROGRAM
set -euo pipefail

readonly program=$1
directory=$(mktemp -d)
readonly directory
trap 'rm -rf "$directory"' EXIT

fail() {
  echo "report_test: $1" >&2
  exit 1
}

cat >"$directory/history.csv" <<'EOF'
time_s,event,node,token,name,changed
0.5,holder,node-<b>0</b>,2,,0
1.0,rent,node-0,2,d-1-1,1
2.0,killed,node-0,2,,0
2.1,vacant,,0,,0
3.25,holder,node-1,5,,0
4.0,return,node-0,2,vm-000001,0
4.5,violation,,0,<script>alert(1)</script>,0
EOF
"$program" "$directory/history.csv" --output "$directory/page" >/dev/null
readonly page=$directory/page/index.html
grep -q '2 cloud operations (1 with effect)' "$page" ||
  fail "wrong count of operations at the cloud"
grep -q '<td>killed</td><td>1</td><td>1.250</td><td>1.250</td>' "$page" ||
  fail "wrong time without a holder after a fault"
grep -q '&lt;script&gt;' "$page" || fail "the violation is missing from the page"
if grep -q '<script>\|<b>0' "$page"; then fail "markup from the history was not escaped"; fi
[[ -s $directory/page/holders.svg && -s $directory/page/gaps.svg ]] ||
  fail "holders.svg or gaps.svg is missing or empty"

printf 'time_s,event,node,token,name,changed\nx,holder,a,1,,0\n' >"$directory/bad.csv"
if "$program" "$directory/bad.csv" --output "$directory/bad" 2>"$directory/error"; then
  fail "a history with a malformed line was accepted"
fi
grep -q 'line 2: not a number' "$directory/error" ||
  fail "the error does not name the malformed line 2"
