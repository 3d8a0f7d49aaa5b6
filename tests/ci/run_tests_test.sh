#!/usr/bin/env bash
# Tests of .ci/run-tests: only failures of tests listed as known red are ignored.
set -euo pipefail

readonly run_tests=$(cd "$(dirname "$0")/../.." && pwd)/.ci/run-tests
readonly work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

cat >"$work/CTestTestfile.cmake" <<'CTEST'
add_test(Suite.Good "true")
add_test(Suite.AlsoGood "true")
add_test(Suite.Bad/0 "false")
add_test(Suite.Bad/1 "false")
CTEST

passed=0
failed=0

# expect OUTCOME NAME TEXT [LINE...]: checks that run-tests, given a list of known red tests that
# consists of the LINEs, ends with OUTCOME (pass or fail) and prints TEXT. NAME is the test's name.
expect() {
  local outcome=$1 name=$2 text=$3 actual=pass output
  shift 3
  printf '%s\n' "$@" >"$work/list"
  output=$("$run_tests" "$work" "$work/list" 2>&1) || actual=fail
  if [[ $actual == "$outcome" && $output == *"$text"* ]]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    printf 'FAILED: %s: %s, expected %s with "%s"\n%s\n' "$name" "$actual" "$outcome" "$text" "$output"
  fi
}

readonly bad0='Suite.Bad/0 | run --seed 1 | it failed | issue 1'
readonly bad1='Suite.Bad/1 | run --seed 1 | it failed | issue 1'
readonly good='Suite.Good | run --seed 1 | it failed | issue 1'

expect fail "a failing test that is not listed" "Suite.Bad/1 (Failed)" "$bad0"
expect fail "an empty list" "2 tests failed" ""
expect pass "failing tests that are listed are printed" \
  "known red: Suite.Bad/1 | run --seed 1 | it failed" "$bad0" "$bad1"
expect pass "comments and empty lines are skipped" "100% tests passed" "# note" "" "$bad0" "$bad1"
expect fail "a listed test that passes" "Suite.Good passes" "$bad0" "$bad1" "$good"
expect fail "a listed test that does not exist" "Suite.Gone does not exist" \
  "$bad0" "$bad1" 'Suite.Gone | x | y | issue 1'
expect fail "a name is not used as a pattern" "Suite.Bad/. does not exist" "$bad0" \
  'Suite.Bad/. | x | y | issue 1'
expect fail "an entry without a command" "Suite.Bad/0 needs four fields" 'Suite.Bad/0' "$bad1"
expect fail "an entry without an observation" "Suite.Bad/0 needs four fields" \
  'Suite.Bad/0 | run --seed 1' "$bad1"
expect fail "an entry without an issue" "Suite.Bad/0 needs four fields" \
  'Suite.Bad/0 | run --seed 1 | it failed' "$bad1"
expect fail "an entry with an empty field" "Suite.Bad/0 needs four fields" \
  'Suite.Bad/0 | run --seed 1 |  | issue 1' "$bad1"

echo "$passed passed, $failed failed"
((failed == 0))
