#!/usr/bin/env bash
# The platform's roles in small: three ledgers and two gateways as processes on loopback before the
# stand-ins of the store and the runners. A bequest of several turns goes on while a ledger and a
# gateway are killed; a forged turn is refused and explained from the logs. Exits 0 when all held.
set -euo pipefail

build="${1:?usage: emulator/platform/demo.sh BUILD_FOLDER}"
folder="$(mktemp -d)"
declare -A pids

cleanup() {
  for pid in "${pids[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap cleanup EXIT

write_settings() { # NAME CLASS ADDRESS ZONE
  {
    echo "nodeName=$1"; echo "machineClass=$2"; echo "ip=$3"; echo "zone=$4"
    echo "internalPorts=17480,17480"; echo "bootstrap=true"; echo "faultTolerance.machines=1"
    echo "bounds.graceS=4"; echo "platform.address=127.0.0.1:18242"
    if [ "$2" = storage ]; then
      mkdir -p "$folder/data-$1"; echo "dataDir=$folder/data-$1"
    else
      echo "listen.frontend=$3:18249"; echo "listen.readiness=$3:18241"
    fi
  } > "$folder/$1.conf"
}

start() { # NAME ROLE
  MARTENYARD_BOOT="$folder/$1.conf" "$build/martenyard-node" "$2" >> "$folder/$1.log" 2>&1 &
  pids[$1]=$!
}

crash() { # NAME
  kill -9 "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

take_turn() { # ID PREVIOUS TEXT: asks the gateways in turn until one answers whole
  local attempt gateway previous=()
  if [ -n "$2" ]; then previous=(-H "Previous-Turn: $2"); fi
  for attempt in $(seq 1 100); do
    gateway="127.0.74.$((attempt % 2 + 1))"
    if curl -sf --max-time 4 -o "$folder/answer" "http://$gateway:18249/streamkept/1" \
      -H 'Host: demo.example' -H "Attempt-Id: $1-$attempt" -H 'Deadline-Ms: 3000' \
      -H 'Program-Id: bequest' -H 'Token-Budget: 5000' -H 'Token-Usage: 10,100' \
      "${previous[@]}" -d "$3" 2>/dev/null; then
      last="$1-$attempt"
      echo "  turn $1: $(grep -c '^data:' "$folder/answer") events from gateway $gateway (try $attempt)"
      return 0
    fi
    sleep 0.1
  done
  echo "  turn $1 was never answered" >&2
  return 1
}

echo "starting the store, two runners, three ledgers, two gateways"
"$build/martenyard-platform-emulator" --store_port=18242 > "$folder/emulator.log" 2>&1 &
pids[emulator]=$!
for number in 1 2 3; do
  write_settings "storage-$number" storage "127.0.73.$number" "z$number"
  start "storage-$number" ledger
done
for number in 1 2; do
  write_settings "edge-$number" edge "127.0.74.$number" "z$number"
  start "edge-$number" gateway
done

last=""
take_turn first "" "I would like to leave my house to the trust."
take_turn second "$last" "My sister should live in it first."
echo "killing the gateway edge-1 and the ledger storage-1"
crash edge-1
crash storage-1
take_turn third "$last" "And after her, the school."
echo "starting both again"
start storage-1 ledger
start edge-1 gateway
take_turn fourth "$last" "Please read it back to me."

echo "a turn that nobody took:"
status="$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.74.2:18249/streamkept/1" \
  -H 'Host: demo.example' -H 'Attempt-Id: forged-1' -H 'Deadline-Ms: 3000' \
  -H 'Program-Id: bequest' -H 'Previous-Turn: nobody' -d x)"
sleep 0.3 # The gateway writes its lines ten times a second.
"$build/martenyard" explain forged-1 --logs "$folder/edge-1.log,$folder/edge-2.log" | head -2
[ "$status" = 404 ]
echo "all turns were answered whole, in order, through a killed gateway and a killed ledger"
