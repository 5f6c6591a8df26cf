#!/usr/bin/env bash
# Requests to an entry by curl. Usage: examples/requests.sh [ENTRY_URL [KEY [MODEL]]]
set -euo pipefail
entry=${1:-http://127.0.0.1:8080}
key=${2:-slavonska.demo}
model=${3:-slavonska/nozzle-7}
auth="Authorization: Bearer $key"
json="Content-Type: application/json"

echo "-- a completion on the current version"
curl -sS -i -H "$auth" -H "$json" -H "X-Deadline-Ms: 10000" \
    -d "{\"model\": \"$model\", \"prompt\": \"Nozzle 7 drips\", \"max_tokens\": 4}" "$entry/v1/completions"
echo

echo "-- a streamed chat completion on the version v2"
curl -sS -N -H "$auth" -H "$json" -H "X-Priority: interactive" \
    -d "{\"model\": \"$model@v2\", \"stream\": true, \"max_tokens\": 4,
         \"messages\": [{\"role\": \"user\", \"content\": \"Wheel track alarm\"}]}" "$entry/v1/chat/completions"
echo

echo "-- a call that may run at most once, sent twice with one key"
once=$(curl -sS -H "$auth" -H "$json" -d '{"service": "pivot"}' "$entry/v1/idempotency-keys" | jq -r .idempotency_key)
for _ in 1 2; do
    curl -sS -H "$auth" -H "Idempotency-Key: $once" -H "X-Priority: control" -d '{"pivot": 7}' \
        "$entry/services/pivot/start"
    echo
done

echo "-- an idempotent call"
curl -sS -H "$auth" "$entry/services/pivot/status"
echo

echo "-- the operator's adapters (the first two)"
curl -sS -H "$auth" "$entry/v1/models" | jq -c '.data[:2][]'
