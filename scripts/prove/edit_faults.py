"""Proofs that edits are executed at most once."""

import threading

import processes
from scenario import scenario

EDITS = 16
REPEAT_LIMIT_S = 20.0


def send_edit(run, instance, request_id):
    """Sends an edit and returns its outcome."""
    invoked_at = run.now()
    response = processes.call(
        instance.caller_address, "POST", f"/kartskriv/map/{request_id}",
        headers={"Filberthub-Request-Id": request_id,
                 "Filberthub-Deadline-Ms": "3000"}, timeout=4.0)
    headers = response[1] if response else {}
    result = headers.get("Filberthub-Outcome", "unknown")
    run.history.add(
        "request", invoked_at, run.now(), service="kartskriv",
        request=request_id, instance=instance.name, result=result,
        idempotent=False, error=headers.get("Filberthub-Error"))
    return result


# Edits take 600 ms, so that all are in progress when the instance is killed.
@scenario("edit-repeated", short=True, service_ms={"kartskriv": 600.0},
          load={"editors": 0})
def edit_repeated(run):
    """P7: an edit whose entry crashed is repeated through another entry."""
    first, second = run.random.sample(run.deployment.instances, 2)
    request_ids = [f"edit-{run.seed}-{n}" for n in range(EDITS)]
    outcomes = {}

    def caller(request_id):
        outcome = send_edit(run, first, request_id)
        end = run.now() + int(REPEAT_LIMIT_S * 1e9)
        # Only the outcome "done" ends the repeats. After three repeats any
        # outcome, such as "unknown", is final.
        attempts = 1
        while outcome != "done" and attempts < 4 and run.now() < end:
            outcome = send_edit(run, second, request_id)
            attempts += 1
        outcomes[request_id] = outcome

    threads = [threading.Thread(target=caller, args=(request_id,))
               for request_id in request_ids]
    for thread in threads:
        thread.start()
    run.wait(lambda: sum(
        run.deployment.server_counters(name)["in_flight"] > 0
        for name, server in run.deployment.servers.items()
        if server["service"] == "kartskriv") >= 2, "edits are in progress")
    run.kill(first)
    for thread in threads:
        thread.join()
    run.record_figure(
        f"{EDITS} edits, outcomes after the repeats: " + ", ".join(
            f"{sum(outcome == name for outcome in outcomes.values())} {name}"
        for name in sorted(set(outcomes.values()))))
    run.run_load_for(1.0)
