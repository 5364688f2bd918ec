#!/usr/bin/env bash
# Runs a complete cluster on loopback with one process per component: a platform, 12 upstreams and three instances in three
# zones. Applies the seminars estate, sends requests, kills one instance, and stops the others gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
go build -o "$work/" ./cmd/...
cd "$work"

./cuminlift identity make --folder keys operator entry-a entry-b entry-c > /dev/null
zones=(zone-a zone-b zone-c)
port=7910
entries=""
start_upstream() { # service, number, flags
  local name="$1-$2" zone="${zones[$(($2 % 3))]}"
  ./cuminlift-standin upstream --name "$name" --listen "127.0.0.1:$port" --cold 500ms ${3:-} > "$name.log" 2>&1 &
  pids+=($!)
  entries+="${entries:+,}{\"name\":\"$name\",\"service\":\"$1\",\"zone\":\"$zone\",\"address\":\"127.0.0.1:$port\"}"
  port=$((port + 1))
}
for n in 1 2 3 4 5 6; do start_upstream calendar $n --keyed; done
for n in 1 2 3; do start_upstream registrations $n; done
for n in 1 2 3; do start_upstream media $n; done
echo "{\"upstreams\":[$entries]}" > list.json
./cuminlift-standin platform --listen 127.0.0.1:7900 --list list.json > platform.log 2>&1 &
pids+=($!)

base=7000
for letter in a b c; do
  cat > "entry-$letter.json" <<JSON
{
  "instance": "entry-$letter",
  "zone": "zone-$letter",
  "callers": "127.0.0.1:$base",
  "peers": "127.0.0.1:$((base + 1))",
  "forward": "127.0.0.1:$((base + 2))",
  "operators": "127.0.0.1:$((base + 3))",
  "platform": "http://127.0.0.1:7900",
  "tls": {
    "authority": "keys/authority.pem",
    "certificate": "keys/entry-$letter.pem",
    "key": "keys/entry-$letter.key",
    "callers-plain": true
  },
  "trace-file": "entry-$letter.trace"
}
JSON
  ./cuminliftd "entry-$letter.json" 2> "entry-$letter.log" &
  pids+=($!)
  last=$!
  base=$((base + 10))
done
sleep 1
./cuminlift apply --reason "initial estate" "$OLDPWD/examples/seminars.json"
sleep 3
./cuminlift owner calendar seminar-7
echo "== 2000 checks through all instances"
./cuminlift load --rate 400 --length 5s http://127.0.0.1:7000 http://127.0.0.1:7010 http://127.0.0.1:7020
echo "== registrations with idempotency keys"
./cuminlift load --method POST --path "/registrations/talk-%d" --repeat --rate 50 --length 3s http://127.0.0.1:7000 http://127.0.0.1:7010
echo "== downloads"
./cuminlift load --path "/media/slides-%d?size=100000" --rate 50 --length 3s http://127.0.0.1:7000 http://127.0.0.1:7010
echo "== checks while entry-c is killed after two seconds"
(sleep 2; kill -9 "$last") &
./cuminlift load --rate 200 --length 6s http://127.0.0.1:7000 http://127.0.0.1:7010
./cuminlift audit configuration
echo "== graceful stop of entry-b, then replay of the trace of entry-a"
kill "${pids[-2]}"
sleep 2
kill "${pids[-3]}"
wait "${pids[-3]}" || true
./cuminlift replay entry-a.trace
