"""Proofs about outages and lost replies of the object store, and about policy
revisions."""

import contextlib
import json
import threading

import processes
from scenario import scenario


@scenario("platform-outage")
def platform_outage(run):
    """P2, P11: an instance is killed while the store is down."""
    run.deployment.control_platform(outage=True)
    run.run_load_for(4.0)
    victim = run.random.choice(run.deployment.instances)
    run.record_figure(f"killed {victim.name} during the outage")
    run.kill(victim)
    run.wait_until_served()
    run.run_load_for(3.0)
    run.deployment.control_platform(outage=False)
    run.wait(run.deployment.is_settled, "the other instances hold all servers")
    run.wait_until_served()


def propose(run, instance, section, percent, base=None):
    """Proposes a section with a changed share of stragglers.

    Returns the answer, with the outcome "no answer" if there was none.
    """
    body = json.loads((run.deployment.folder / f"{section}.json").read_text())
    body["services"][section]["stragglers"]["share_percent"] = percent
    folder = run.deployment.folder / f"{instance.name}-{percent}"
    folder.mkdir()
    path = folder / f"{section}.json"
    path.write_text(json.dumps(body))
    invoked_at = run.now()
    arguments = ["policy", "propose", path, "--author", instance.name]
    if base is not None:
        arguments += ["--base", base]
    completed = instance.run_operator_command(*arguments)
    answer = {"outcome": "no answer", "message": completed.stdout}
    with contextlib.suppress(ValueError):
        answer.update(json.loads(completed.stdout))
    if answer["outcome"] == "accepted":
        run.history.add("revision_accepted", invoked_at, run.now(),
                        document=answer["revision"])
    return answer


def wait_until_in_force(run, revision):
    def condition():
        states = [i.status() for i in run.deployment.instances if i.running()]
        return all(s and s["policy_revision"] >= revision for s in states)
    start = run.now()
    run.wait(condition, f"revision {revision} is in force everywhere")
    return (run.now() - start) / 1e9


@scenario("revision-everywhere", instances=9)
def revision_everywhere(run):
    """P10: revisions are in force everywhere within 6 s and never decrease."""
    slowest = 0.0
    for number in range(4):
        instance = run.random.choice(run.deployment.instances)
        answer = propose(run, instance, "kartlas", 11 + number)
        run.require(answer["outcome"] == "accepted", f"proposal: {answer}")
        slowest = max(slowest, wait_until_in_force(run, answer["revision"]))
    run.record_figure(f"in force everywhere after at most {slowest:.2f} s")
    run.run_load_for(7.0)


@scenario("lost-replies")
def lost_replies(run):
    """P10: two operators propose at once while replies to updates are lost."""
    first, second = run.random.sample(run.deployment.instances, 2)
    accepted = refused = 0
    for number in range(4):
        # In odd rounds both proposals change one section from one base, so that
        # one of them must be refused.
        sections = ("kartlas", "kartlas" if number % 2 else "raddning")
        before = first.status()["policy_revision"]
        wait_until_in_force(run, before)
        run.deployment.control_platform(lose_replies=2)
        answers = [None, None]

        def propose_concurrently(index, instance, section, percent,
                                 before=before, results=answers):
            results[index] = propose(run, instance, section, percent, before)

        threads = [
            threading.Thread(target=propose_concurrently, args=(
                index, instance, sections[index], 11 + 2 * number + index))
            for index, instance in enumerate((first, second))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        run.deployment.control_platform(lose_replies=0)
        revisions = sorted(a["revision"] for a in answers
                           if a and a["outcome"] == "accepted")
        run.require(revisions, f"no proposal was accepted: {answers}")
        run.require(len(set(revisions)) == len(revisions),
                    f"two proposals share a revision: {answers}")
        accepted += len(revisions)
        refused += sum(a["outcome"] == "conflict" for a in answers if a)
        run.require(len(revisions) < 2 or sections[0] != sections[1],
                    f"two changes of one section from one base: {answers}")
        wait_until_in_force(run, revisions[-1])
        require_changes_applied_once(run, before, answers)
    lost = run.deployment.platform_call("GET", "/v1/calls")["replies_lost"]
    run.record_figure(f"{accepted} proposals accepted, "
                      f"{refused} refused as conflicts, "
                      f"{lost} replies lost")
    run.require(lost > 0, "no reply was lost")


def require_changes_applied_once(run, before, answers):
    """Requires that each accepted proposal was applied once and that no refused
    one was."""
    changes = processes.call_json(
        run.deployment.instances[0].operator_address, "GET",
        "/v1/policy/history")
    applied = [change["revision"] for change in changes or []
               if change["revision"] > before]
    accepted = [a["revision"] for a in answers if a["outcome"] == "accepted"]
    unknown = sum(a["outcome"] in ("unknown", "no answer") for a in answers)
    run.require(set(accepted) <= set(applied)
                and len(applied) <= len(accepted) + unknown,
                f"revisions {applied} after {before}, answers {answers}")
