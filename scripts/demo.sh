#!/usr/bin/env bash
# Runs the whole system on loopback: the emulated platform, three daemons in three zones, a bundle
# signed and rolled, a judge ruling of many calls and a bequest, one daemon killed in the middle.
# Exits 0 when every answer and history came out whole; stops everything it started.
set -euo pipefail

bin="${1:?usage: scripts/demo.sh FOLDER_WITH_THE_PROGRAMS}"
work="$(mktemp -d)"
pids=()

finish() {
  local status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "demo: failed; the logs' last lines:" >&2
    tail -n 15 "$work"/*.log >&2 || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }

# Waits until a command succeeds, checking every tenth of a second, for a minute at most.
await() {
  local what="$1"
  shift
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "demo: gave up waiting until $what" >&2
  return 1
}

free_port() {
  # Asks the system for a free port; the daemon then binds it.
  python3 -c 'import socket; s = socket.socket(); s.bind(("127.0.0.1", 0)); print(s.getsockname()[1])'
}

field() { sed -n "s/^ *\"$1\": \"\{0,1\}\([^\",]*\)\"\{0,1\},\{0,1\}$/\1/p" | head -n 1; }

cli() { "$bin/martenyard" "$@"; }

say "Keys and tokens of the two partners"
for partner in tournament trust; do
  cli keygen --out "$work/$partner" >/dev/null
  cli token new --output json >"$work/$partner.token"
done
tournament_token="$(field token <"$work/tournament.token")"
trust_token="$(field token <"$work/trust.token")"
echo "tournament and trust have a key pair and a caller's token each"

say "The emulated platform"
zones=(sapporo-hall asahikawa-hall hakodate-hall)
{
  for zone in "${zones[@]}"; do
    for number in 1 2; do
      printf '[[engine]]\nname = "judge-%s-%s"\nservice = "judge-models"\nowner = "tournament"\nzone = "%s"\n' "${zone%%-*}" "$number" "$zone"
    done
    printf '[[tool]]\nname = "rules-%s"\nservice = "rules-lookup"\nowner = "tournament"\nzone = "%s"\n' "${zone%%-*}" "$zone"
  done
  printf '[[application]]\nname = "hall-app-1"\nservice = "hall-app"\nowner = "tournament"\nzone = "sapporo-hall"\n'
  printf '[[engine]]\nname = "scribe-1"\nservice = "scribe-pool"\nowner = "trust"\nzone = "sapporo-hall"\n'
  printf '[[engine]]\nname = "scribe-2"\nservice = "scribe-pool"\nowner = "trust"\nzone = "hakodate-hall"\n'
  printf '[[application]]\nname = "donor-desk-1"\nservice = "donor-desk"\nowner = "trust"\nzone = "sapporo-hall"\n'
} >"$work/platform.toml"
"$bin/martenyard-emulator" --config "$work/platform.toml" --url_file "$work/platform.url" >"$work/emulator.log" 2>&1 &
pids+=($!)
await "the emulator serves" test -s "$work/platform.url"
platform="$(cat "$work/platform.url")"
echo "the platform answers at $platform"

say "Three daemons, one in each zone"
ports=()
for _ in 1 2 3 4 5 6; do ports+=("$(free_port)"); done
seeds="\"127.0.0.1:${ports[0]}\", \"127.0.0.1:${ports[2]}\", \"127.0.0.1:${ports[4]}\""
servers=()
daemon_pids=()
for index in 0 1 2; do
  mkdir -p "$work/data$index"
  cat >"$work/daemon$index.toml" <<SETTINGS
[daemon]
zone = "${zones[$index]}"
peer_address = "127.0.0.1:${ports[$((2 * index))]}"
caller_address = "127.0.0.1:${ports[$((2 * index + 1))]}"
seeds = [$seeds]
data_dir = "$work/data$index"
[platform]
key_value_url = "$platform"
machine_list_url = "$platform"
[[partner]]
name = "tournament"
public_key = "$(cat "$work/tournament.pub")"
[[partner]]
name = "trust"
public_key = "$(cat "$work/trust.pub")"
SETTINGS
  cli settings check "$work/daemon$index.toml" >/dev/null
  "$bin/martenyardd" --settings "$work/daemon$index.toml" >"$work/daemon$index.log" 2>&1 &
  pids+=($!)
  daemon_pids+=($!)
  servers+=("http://127.0.0.1:${ports[$((2 * index + 1))]}")
done
ready() { curl -sf -o /dev/null "$1/readyz"; }
for server in "${servers[@]}"; do await "$server is ready" ready "$server"; done
echo "all three are ready: ${servers[*]}"

say "Each partner signs its bundle and rolls it"
cat >"$work/tournament.toml" <<BUNDLE
partner = "tournament"
version = "season-1"
[[program]]
name = "judge-ruling"
priority = 8
budget_tokens = 100000
max_calls = 80
models = ["judge-models"]
tools = ["rules-lookup"]
applications = ["hall-app"]
[[caller]]
name = "floor"
token_hash = "$(field token_hash <"$work/tournament.token")"
BUNDLE
cat >"$work/trust.toml" <<BUNDLE
partner = "trust"
version = "appeal-1"
[[program]]
name = "bequest"
budget_tokens = 200000
max_calls = 91
models = ["scribe-pool"]
applications = ["donor-desk"]
[[caller]]
name = "desk"
token_hash = "$(field token_hash <"$work/trust.token")"
BUNDLE
for partner in tournament trust; do
  cli bundle sign "$work/$partner.toml" --key "$work/$partner.key" >/dev/null
  cli bundle submit "$work/$partner.toml" --server "${servers[0]}" >/dev/null
  cli bundle roll "$work/$partner.toml" --key "$work/$partner.key" --server "${servers[0]}" >/dev/null
done
in_force() { [ "$(cli bundle status --server "$1" --output json | grep -c '"epoch": 1')" -eq 2 ]; }
for server in "${servers[@]}"; do await "both bundles are in force at $server" in_force "$server"; done
echo "both bundles are in force at every daemon"
if cli bundle roll "$work/trust.toml" --key "$work/tournament.key" --epoch 2 --server "${servers[0]}" 2>"$work/refusal"; then
  echo "demo: a foreign signature was accepted" >&2
  exit 1
fi
echo "a roll with the other partner's key is refused: $(cat "$work/refusal")"

# One call; asks again with the same key while the system says to try again.
call() {
  local token="$1" program="$2" key="$3"
  shift 3
  local attempt status
  for attempt in $(seq 60); do
    status=0
    cli program call "$program" --token "$token" --key "$key" --output json \
      --server "${servers[$((attempt % ${#servers[@]}))]}" "$@" >"$work/answer" 2>"$work/error" || status=$?
    if [ "$status" -eq 0 ]; then return 0; fi
    if [ "$status" -lt 3 ]; then break; fi
    sleep 0.2
  done
  echo "demo: call $key failed: $(cat "$work/error")" >&2
  return 1
}

say "A judge ruling: model and rules lookups in turn; one daemon is killed in the middle"
cli program create --partner tournament --program judge-ruling --id ruling-1 --token "$tournament_token" --server "${servers[0]}" >/dev/null
for turn in $(seq 12); do
  if [ "$turn" -eq 6 ]; then
    kill -KILL "${daemon_pids[2]}"
    wait "${daemon_pids[2]}" 2>/dev/null || true
    echo "  killed the daemon of ${zones[2]}"
    servers=("${servers[0]}" "${servers[1]}")
  fi
  call "$tournament_token" ruling-1 "lookup-$turn" --kind tool --service rules-lookup --arguments "{\"rule\": $turn}"
  call "$tournament_token" ruling-1 "turn-$turn" --service judge-models --message "What follows from rule $turn? #tokens=20"
  echo "  turn $turn: $(field content <"$work/answer")"
done
call "$tournament_token" ruling-1 "pairing-notice" --kind application --service hall-app --arguments '{"notice": "ruling given"}'

say "A bequest, streamed by the daemons that are left"
cli program create --partner trust --program bequest --id bequest-1 --token "$trust_token" --server "${servers[1]}" >/dev/null
for turn in 1 2 3; do
  call "$trust_token" bequest-1 "turn-$turn" --service scribe-pool --message "Exchange $turn of the bequest. #tokens=15"
  echo "  exchange $turn: $(field content <"$work/answer")"
done

say "Histories, as any daemon tells them"
history_turns() { cli program history "$1" --token "$2" --server "${servers[0]}" --output json | grep -c '"outcome": "ran"'; }
ruling_turns="$(history_turns ruling-1 "$tournament_token")"
bequest_turns="$(history_turns bequest-1 "$trust_token")"
cli program show ruling-1 --token "$tournament_token" --server "${servers[1]}"
echo "ruling-1: $ruling_turns calls ran of 25; bequest-1: $bequest_turns of 3"
[ "$ruling_turns" -eq 25 ] && [ "$bequest_turns" -eq 3 ]
notices="$(curl -sf "$platform/records" | grep -o '"ruling-1/pairing-notice":[0-9]*')"
echo "the hall's own record of the notice: $notices"
[ "$notices" = '"ruling-1/pairing-notice":1' ]

say "Ends the programs; the engines let go of their contexts"
cli program end ruling-1 --token "$tournament_token" --server "${servers[0]}" >/dev/null
cli program end bequest-1 --token "$trust_token" --server "${servers[0]}" >/dev/null
contexts_released() { ! curl -sf "$platform/records" | grep -q '"id":"\(ruling\|bequest\)-1"'; }
await "no engine holds a context" contexts_released
echo "no engine holds a context of them"

say "A planned stop of the daemons left"
for index in 0 1; do
  kill -TERM "${daemon_pids[$index]}"
done
for index in 0 1; do
  wait "${daemon_pids[$index]}"
done
say "Done: every answer and history whole"
