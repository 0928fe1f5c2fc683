#!/usr/bin/env bash
# Starts one entry, one agent and one stand-in upstream, sends some requests, and stops them. Run 'make build' first.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build/release}
"$build/apps/entry/cowslipdoor" entry --name entry-1 --failure-domain chuping --listen 127.0.0.1:8080 \
    --link-listen 127.0.0.1:7000 --admin-listen 127.0.0.1:9000 --rules examples/rota.rules --drain-grace 0ms --log-level warning &
entry=$!
"$build/apps/agent/cowslipdoor-agent" --name vm-1 --failure-domain chuping --admin-listen 127.0.0.1:9100 \
    --entries 127.0.0.1:7000 --log-level warning &
agent=$!
"$build/standins/standin-upstream" --listen 127.0.0.1:8100 --agent 127.0.0.1:9100 &
upstream=$!
trap 'kill $agent $entry $upstream 2>/dev/null; wait' EXIT
for _ in $(seq 100); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' 127.0.0.1:9100/readyz)" = 200 ] && break
    sleep 0.1
done
sleep 3 # an entry waits 2 s (--key-settle) for further agents before it sends non-idempotent requests
curl -si -H 'X-User: siti' '127.0.0.1:8080/rota/today?n=rota'
echo
for _ in 1 2; do
    curl -si -X POST -H 'X-User: siti' -H 'Idempotency-Key: tally-17' '127.0.0.1:8080/tally/block-7?n=tally'
    echo
done
curl -si 127.0.0.1:8080/unknown
"$build/apps/entry/cowslipdoor" rules show --admin 127.0.0.1:9000
"$build/apps/entry/cowslipdoor" status --admin 127.0.0.1:9000
