#!/usr/bin/env bash
# Builds gentianspring, runs it with its stand-ins as separate processes on loopback, sends a request of each kind and
# stops everything again. With --hold it leaves the processes running and tells how to reach them.
set -euo pipefail
cd "$(dirname "$0")"

HOLD=no
[ "${1:-}" = "--hold" ] && HOLD=yes
BIN=target/debug
RUN=$(mktemp -d)
PIDS=()

stop_all() {
  local status=$?
  trap - EXIT
  for ((i = ${#PIDS[@]} - 1; i >= 0; i--)); do kill -TERM "${PIDS[$i]}" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || { echo "process $pid did not stop cleanly"; status=1; }; done
  if [ "$status" -eq 0 ]; then rm -rf "$RUN"; else echo "logs are kept in $RUN"; fi
  exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# Gives a port that nobody listens on at the moment.
free_port() {
  local port
  while :; do
    port=$((20000 + RANDOM % 12000))
    case " ${USED:-} " in *" $port "*) continue ;; esac
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
  done
  USED="${USED:-} $port"
  PORT=$port
}

# Starts a process in the background: start NAME COMMAND…
start() {
  local name=$1
  shift
  # The file must be there before anybody looks for an address in it; the process itself may start later.
  : >"$RUN/$name.out"
  "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
  PIDS+=($!)
}

# Starts a stand-in and puts its address into ADDRESS.
start_standin() {
  start "$@"
  for _ in $(seq 100); do
    ADDRESS=$(sed -n 's/^listening on //p' "$RUN/$1.out")
    [ -n "$ADDRESS" ] && return
    sleep 0.05
  done
  echo "$1 did not start"; exit 1
}

# Waits until a health check answers 200: wait_ready ADDRESS PATH
wait_ready() {
  for _ in $(seq 200); do
    if exec 3<>"/dev/tcp/${1%:*}/${1#*:}"; then
      printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&3
      read -r _ code _ <&3 || code=0
      exec 3>&-
      [ "$code" = 200 ] && return
    fi 2>/dev/null
    sleep 0.05
  done
  echo "$1$2 is not ready"; exit 1
}

echo "building"
cargo build --workspace --locked --quiet

export GENTIAN_OPERATOR_KEY=demo-operator-key-0001

STATE=() ADMIN=()
for i in 1 2 3; do
  free_port; STATE+=("127.0.0.1:$PORT")
  free_port; ADMIN+=("127.0.0.1:$PORT")
done
PEERS=$(IFS=,; echo "${STATE[*]}")
GENTIAN_ADMIN=$(IFS=,; echo "${ADMIN[*]}")
for i in 0 1 2; do
  start "state-$((i + 1))" $BIN/gentian-state --node "state-$((i + 1))" --peers "$PEERS" --listen "${STATE[$i]}" \
    --admin "${ADMIN[$i]}" --data "$RUN/state-$((i + 1))"
done

start_standin cloud $BIN/gentian-standin cloud; CLOUD=$ADDRESS
start_standin counter-a $BIN/gentian-standin engine --model counter-1; COUNTER_A=$ADDRESS
start_standin counter-b $BIN/gentian-standin engine --model counter-1; COUNTER_B=$ADDRESS
start_standin iftar $BIN/gentian-standin engine --model iftar-1; IFTAR=$ADDRESS
start_standin till $BIN/gentian-standin service; TILL=$ADDRESS
start_standin registration $BIN/gentian-standin service; REGISTRATION=$ADDRESS

engine() { # id address model zone
  printf '{"id":"%s","address":"%s","kind":{"engine":{"model":"%s","checks_fencing":true}},"host":{"id":"host-%s",' "$1" "$2" "$3" "$1"
  printf '"zone":"%s","data_center":"dc-1","class":"reclaimable","price":90000}}' "$4"
}
service() { # id address service zone
  printf '{"id":"%s","address":"%s","kind":{"service":{"service":"%s","tells_outcome":true}},"host":{"id":"host-%s",' "$1" "$2" "$3" "$1"
  printf '"zone":"%s","data_center":"dc-1","class":"on_demand","price":60000}}' "$4"
}
{
  echo "["
  engine counter-a "$COUNTER_A" counter-1 zone-a; echo ","
  engine counter-b "$COUNTER_B" counter-1 zone-b; echo ","
  engine iftar "$IFTAR" iftar-1 zone-a; echo ","
  service till "$TILL" till zone-a; echo ","
  service registration "$REGISTRATION" registration zone-b; echo "]"
} >"$RUN/upstreams.json"

ENTRY=() OPS=() INNER=()
for i in 1 2; do
  free_port; ENTRY+=("127.0.0.1:$PORT")
  free_port; OPS+=("127.0.0.1:$PORT")
  free_port; INNER+=("127.0.0.1:$PORT")
done
INNERS=$(IFS=,; echo "${INNER[*]}")
for i in 0 1; do
  start "entry-$((i + 1))" $BIN/gentian-entry --node "entry-$((i + 1))" --data-center dc-1 --listen "${ENTRY[$i]}" \
    --ops "${OPS[$i]}" --inner "${INNER[$i]}" --state "$PEERS" --peers "$INNERS"
done
start capacity $BIN/gentian-capacity --node capacity-1 --cloud "$CLOUD" --state "$PEERS" --entries "$INNERS"

for i in 0 1 2; do wait_ready "${ADMIN[$i]}" /livez; done
export GENTIAN_ADMIN
for contract in tan-seng-huat mwangaza; do $BIN/gentianctl contract apply "demo/$contract.json"; done
$BIN/gentianctl upstream apply "$RUN/upstreams.json"
$BIN/gentianctl contract list
for i in 0 1; do wait_ready "${OPS[$i]}" /readyz; done
sleep 1

$BIN/gentian-load demo --entry "${ENTRY[0]}" --second "${ENTRY[1]}"
echo "all answers were right"

if [ "$HOLD" = yes ]; then
  cat <<TEXT

entry hosts    ${ENTRY[*]}   health and metrics ${OPS[*]}
administration ${ADMIN[*]}   key $GENTIAN_OPERATOR_KEY

curl -N http://${ENTRY[0]}/v1/chat/completions -H 'Authorization: Bearer demo-key-counter' \\
  -d '{"model":"counter-1","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"a rose gold ring"}]}'
curl http://${ENTRY[1]}/services/registration/seats/tent-4 -H 'Authorization: Bearer demo-key-gate'
curl http://${ENTRY[0]}/services/till/deposits -H 'Authorization: Bearer demo-key-counter' \\
  -H 'Idempotency-Key: labret-17' -d '{"amount":50}'
GENTIAN_OPERATOR_KEY=$GENTIAN_OPERATOR_KEY GENTIAN_ADMIN=$GENTIAN_ADMIN $BIN/gentianctl upstream list

Stop with Ctrl-C.
TEXT
  while :; do sleep 1; done
fi
