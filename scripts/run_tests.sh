#!/usr/bin/env bash
# Runs every test with ctest, except those that KNOWN-RED.txt lists, which it names.
# A line there is `TEST: cause (issue)`; TEST is the test's whole name as ctest tells it.
# Three lines at most; a listed test that no longer exists is an error.
set -euo pipefail

preset="${1:?usage: scripts/run_tests.sh PRESET}"
jobs=6        # Tests at once: the soaks start some thirty processes each.
most_red=3    # Lines that KNOWN-RED.txt may have.
list=KNOWN-RED.txt

mapfile -t red < <(grep -vE '^[[:space:]]*(#|$)' "$list" 2>/dev/null | sed -E 's/:[[:space:]].*$//' || true)
if [ "${#red[@]}" -gt "$most_red" ]; then
  echo "$list names ${#red[@]} tests; $most_red may be listed" >&2
  exit 1
fi
if [ "${#red[@]}" -eq 0 ]; then
  exec ctest --preset "$preset" -j "$jobs"
fi

# A test of a table carries its parameter behind its name, as bytes that differ from build to build.
known="$(ctest --preset "$preset" -N | sed -nE 's/^ *Test +#[0-9]+: //p' | sed -E 's/  # GetParam.*$//')"
pattern=""
for test in "${red[@]}"; do
  if ! grep -qxF -- "$test" <<<"$known"; then
    echo "$list names a test that does not exist: $test" >&2
    exit 1
  fi
  escaped="$(sed -E 's/[][().*+?|^$\\]/\\&/g' <<<"$test")"
  pattern="${pattern:+$pattern|}$escaped"
done
echo "Passed over, known to fail ($list):"
grep -vE '^[[:space:]]*(#|$)' "$list"
exec ctest --preset "$preset" -j "$jobs" -E "^($pattern)(  # GetParam.*)?\$"
