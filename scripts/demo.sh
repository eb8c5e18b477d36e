#!/usr/bin/env bash
# Runs six instances against a simulated platform and the simulated backend
# servers of examples/golvkarta, kills an instance and takes a failure domain
# out of service and back under load. The last line of the output is
#
#     demo: S served, R refused as not run, U outcome unknown, F wrong
#
# The exit code is 1 after a wrong answer, a failed command or a run that served
# nothing. FILBERTHUB replaces the binary build/dev/filberthub. The addresses of
# the examples are changed from 127.0.x.y to 127.30.x.y, so that a fleet with
# the addresses of the examples can run at the same time; FILBERTHUB_DEMO_NET
# replaces the 30.
set -euo pipefail
cd "$(dirname "$0")/.."

net="127.${FILBERTHUB_DEMO_NET:-30}"
platform="$net.0.1:7400"
instances=6
domains=(se-mitt-a se-mitt-b se-mitt-c)
lost_instance=2
moved_domain=se-mitt-c
load_seconds=20
load_rate=300

bash scripts/install.sh
if [ ! -x "${FILBERTHUB:-build/dev/filberthub}" ] ||
    [ ! -x build/dev/platform_standin ] ||
    [ ! -x build/dev/backend_standin ] || [ ! -x build/dev/loadgen ]; then
    bash scripts/build.sh dev
fi
filberthub="${FILBERTHUB:-build/dev/filberthub}"

work=$(mktemp -d /tmp/filberthub-demo.XXXXXX)
pids=()
stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        for _ in $(seq 50); do
            kill -0 "$pid" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "$pid" 2>/dev/null || true
    done
}
trap stop_all EXIT
trap 'exit 130' INT TERM

fail() {
    echo "demo: $1; logs are in $work" >&2
    exit 1
}

# start NAME COMMAND...: runs the command in the background and stores its
# process id in `started`.
start() {
    local name="$1"
    shift
    "$@" >"$work/$name.log" 2>&1 &
    started=$!
    pids+=("$started")
}

# wait_for SECONDS PID URL: sends requests until one is answered with 200. The
# process is checked before and after each, because another process may answer
# at its address.
wait_for() {
    local end=$((SECONDS + $1))
    until kill -0 "$2" 2>/dev/null && curl -sf -m 2 -o /dev/null \
        -H "Filberthub-Request-Id: demo-$RANDOM-$RANDOM" \
        -H 'Filberthub-Key: home-1' "$3" && kill -0 "$2" 2>/dev/null; do
        kill -0 "$2" 2>/dev/null || fail "the process for $3 has ended"
        [ "$SECONDS" -lt "$end" ] || fail "no answer 200 from $3 within $1 s"
        sleep 0.2
    done
}

# The backend servers are taken from the policy, so that both agree.
mkdir "$work/sections"
for section in examples/golvkarta/sections/*.json; do
    sed "s/\"127\.0\./\"$net./" "$section" >"$work/sections/${section##*/}"
done
python3 - "$work" "$net" "$platform" "$instances" "${domains[@]}" <<'PYTHON'
import glob, json, sys

work, net, platform, instances, *domains = sys.argv[1:]
servers = []
for path in sorted(glob.glob(f"{work}/sections/*.json")):
    with open(path) as file:
        services = json.load(file).get("services", {})
    for name, service in services.items():
        for server in service["backend_servers"]:
            servers.append({
                "id": server["id"], "listen": server["address"],
                "service": name, "domain": server["failure_domain"],
                "slots": service["slots"], "service_ms": 4, "cold_ms": 500,
                "cold_limit": 1,
                "checks_tokens": service.get("verifies_tokens", False)})
with open(f"{work}/servers.json", "w") as file:
    json.dump(servers, file)
with open("examples/golvkarta/instance.json") as file:
    settings = json.load(file)
settings["platform"] = platform
for number in range(1, int(instances) + 1):
    settings["instance"] = f"se-mitt-{number}"
    settings["failure_domain"] = domains[(number - 1) % len(domains)]
    settings["listen"] = {
        "callers": f"{net}.10.{number}:8080",
        "peers": f"{net}.10.{number}:8081",
        "operators": f"{net}.10.{number}:8082"}
    with open(f"{work}/instance-{number}.json", "w") as file:
        json.dump(settings, file)
mix = {"services": [
    {"service": "kartlas", "share": 6, "path": "/kartlas/floor",
     "keys": {"distribution": "zipf", "count": 2000, "exponent": 0.9},
     "deadline_ms": 1000},
    {"service": "kartskriv", "share": 2, "method": "POST",
     "path": "/kartskriv/zones", "body_bytes": 400, "priority": "edit",
     "idempotent": False, "deadline_ms": 2000,
     "keys": {"distribution": "uniform", "count": 2000}},
    {"service": "raddning", "share": 2, "path": "/raddning/floor",
     "priority": "rescue", "deadline_ms": 500}]}
with open(f"{work}/mix.json", "w") as file:
    json.dump(mix, file)
PYTHON

echo "demo: starting the platform, the backend servers and $instances instances"
start platform build/dev/platform_standin --listen "$platform" \
    --seed-sections "$work/sections"
platform_pid=$started
start backends build/dev/backend_standin --servers "$work/servers.json"
backends_pid=$started
wait_for 5 "$backends_pid" "http://$net.11.1:9000/_filberthub/health"
wait_for 5 "$platform_pid" "http://$platform/v1/calls"
instance_pids=()
entries=()
for number in $(seq "$instances"); do
    start "instance-$number" "$filberthub" serve \
        --settings "$work/instance-$number.json"
    instance_pids[number]=$started
    entries+=(--entry "$net.10.$number:8080")
done
for number in $(seq "$instances"); do
    wait_for 20 "${instance_pids[number]}" "http://$net.10.$number:8080/kartlas/floor?map=1"
done
echo "demo: every instance serves; sending $load_rate requests/s for $load_seconds s"

build/dev/loadgen "${entries[@]}" --services "$work/mix.json" \
    --rate "$load_rate" --seconds "$load_seconds" --connections 32 \
    --history "$work/requests.jsonl" >"$work/load.jsonl" &
load=$!
pids+=("$load")

sleep 4
echo "demo: killing instance $lost_instance (process ${instance_pids[lost_instance]})"
kill -KILL "${instance_pids[lost_instance]}"
wait "${instance_pids[lost_instance]}" 2>/dev/null || true
sleep 5
echo "demo: taking failure domain $moved_domain out of service"
"$filberthub" domain out "$moved_domain" --operator $net.10.1:8082 ||
    fail "the failure domain was not taken out"
sleep 5
echo "demo: returning failure domain $moved_domain"
"$filberthub" domain in "$moved_domain" --operator $net.10.1:8082 ||
    fail "the failure domain was not returned"

load_status=0
wait "$load" || load_status=$?
[ "$load_status" -le 1 ] || fail "the load generator exited with code $load_status"

python3 - "$work" <<'PYTHON'
import json, sys

work = sys.argv[1]
with open(f"{work}/load.jsonl") as file:
    lines = [json.loads(line) for line in file]
total = next((line for line in lines if line.get("summary") == "total"), None)
if total is None:
    sys.exit(f"demo: the load generator wrote no summary; logs are in {work}")
for line in lines:
    if "summary" in line and "p99_ms" in line:
        print("demo: {summary}: p50 {p50_ms} ms, p99 {p99_ms} ms, "
              "max {max_ms} ms".format(**line))
print("demo: {served} served, {refused} refused as not run, "
      "{unknown} outcome unknown, {wrong} wrong".format(**total))
sys.exit(1 if total["wrong"] > 0 or total["served"] == 0 else 0)
PYTHON
