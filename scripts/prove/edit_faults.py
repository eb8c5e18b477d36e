"""Proofs of at most once for edits."""

import threading

import processes
from scenario import scenario

EDITS = 16
REPEAT_LIMIT = 20.0


def send_edit(run, instance, identity):
    """Sends an edit and returns its outcome."""
    invoke = run.now()
    answer = processes.call(
        instance.callers, "POST", f"/kartskriv/map/{identity}",
        headers={"Filberthub-Request-Id": identity,
                 "Filberthub-Deadline-Ms": "3000"}, timeout=4.0)
    fields = answer[1] if answer else {}
    result = fields.get("Filberthub-Outcome", "unknown")
    run.history.add(
        "request", invoke, run.now(), service="kartskriv", request=identity,
        instance=instance.name, result=result, idempotent=False,
        error=fields.get("Filberthub-Error"))
    return result


# An edit takes long enough that all of them are in progress at the kill.
@scenario("edit-repeated", short=True, service_ms={"kartskriv": 600.0},
          load={"editors": 0})
def edit_repeated(run):
    """P7: an edit whose entry crashed is repeated through another entry."""
    first, second = run.random.sample(run.deployment.instances, 2)
    identities = [f"edit-{run.seed}-{n}" for n in range(EDITS)]
    outcomes = {}

    def caller(identity):
        outcome = send_edit(run, first, identity)
        end = run.now() + int(REPEAT_LIMIT * 1e9)
        # Only an answer "done" ends the repeats; unknown is final as well for
        # a caller that was told so twice.
        attempts = 1
        while outcome != "done" and attempts < 4 and run.now() < end:
            outcome = send_edit(run, second, identity)
            attempts += 1
        outcomes[identity] = outcome

    threads = [threading.Thread(target=caller, args=(identity,))
               for identity in identities]
    for thread in threads:
        thread.start()
    run.wait(lambda: sum(
        run.deployment.server_counters(name)["in_flight"] > 0
        for name, server in run.deployment.servers.items()
        if server["service"] == "kartskriv") >= 2, "edits are in progress")
    run.kill(first)
    for thread in threads:
        thread.join()
    run.note(f"{EDITS} edits, outcomes after the repeats: " + ", ".join(
        f"{sum(o == name for o in outcomes.values())} {name}"
        for name in sorted(set(outcomes.values()))))
    run.serve_for(1.0)
