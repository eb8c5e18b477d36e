"""Proofs with outages and lost replies of the object store, and of policy
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
    run.serve_for(4.0)
    victim = run.random.choice(run.deployment.instances)
    run.note(f"killed {victim.name} during the outage")
    run.kill(victim)
    run.served_again()
    run.serve_for(3.0)
    run.deployment.control_platform(outage=False)
    run.wait(run.deployment.settled, "the others hold all servers")
    run.served_again()


def propose(run, instance, section, percent, base=None):
    """Proposes a section with another share of stragglers."""
    body = json.loads((run.deployment.folder / f"{section}.json").read_text())
    body["services"][section]["stragglers"]["share_percent"] = percent
    folder = run.deployment.folder / f"{instance.name}-{percent}"
    folder.mkdir()
    path = folder / f"{section}.json"
    path.write_text(json.dumps(body))
    invoke = run.now()
    words = ["policy", "propose", path, "--author", instance.name]
    if base is not None:
        words += ["--base", base]
    done = instance.operate(*words)
    answer = {"outcome": "no answer", "message": done.stdout}
    with contextlib.suppress(ValueError):
        answer.update(json.loads(done.stdout))
    if answer["outcome"] == "accepted":
        run.history.add("revision_accepted", invoke, run.now(),
                        document=answer["revision"])
    return answer


def in_force_everywhere(run, revision):
    def condition():
        states = [i.status() for i in run.deployment.instances if i.running()]
        return all(s and s["policy_revision"] >= revision for s in states)
    start = run.now()
    run.wait(condition, f"revision {revision} is in force everywhere")
    return (run.now() - start) / 1e9


@scenario("revision-everywhere", instances=9)
def revision_everywhere(run):
    """P10: revisions are in force everywhere within 6 s, none reverts."""
    slowest = 0.0
    for number in range(4):
        instance = run.random.choice(run.deployment.instances)
        answer = propose(run, instance, "kartlas", 11 + number)
        run.require(answer["outcome"] == "accepted", f"proposal: {answer}")
        slowest = max(slowest, in_force_everywhere(run, answer["revision"]))
    run.note(f"in force everywhere after at most {slowest:.2f} s")
    run.serve_for(7.0)


@scenario("lost-replies")
def lost_replies(run):
    """P10: two operators propose at once while replies to updates are lost."""
    first, second = run.random.sample(run.deployment.instances, 2)
    accepted = refused = 0
    for number in range(4):
        # Odd rounds change one section from one base, so that one proposal has
        # to lose.
        sections = ("kartlas", "kartlas" if number % 2 else "raddning")
        before = first.status()["policy_revision"]
        in_force_everywhere(run, before)
        run.deployment.control_platform(lose_replies=2)
        answers = [None, None]

        def work(place, instance, section, percent, before=before,
                 into=answers):
            into[place] = propose(run, instance, section, percent, before)

        threads = [
            threading.Thread(target=work, args=(
                place, instance, sections[place], 11 + 2 * number + place))
            for place, instance in enumerate((first, second))]
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
        in_force_everywhere(run, revisions[-1])
        check_changes(run, before, answers)
    lost = run.deployment.platform_call("GET", "/v1/calls")["replies_lost"]
    run.note(f"{accepted} proposals accepted, {refused} refused as conflicts, "
             f"{lost} replies lost")
    run.require(lost > 0, "no reply was lost")


def check_changes(run, before, answers):
    """Each accepted proposal was applied once, each refused one not."""
    page = processes.call_json(run.deployment.instances[0].operators, "GET",
                               "/v1/policy/history")
    applied = [change["revision"] for change in page or []
               if change["revision"] > before]
    known = [a["revision"] for a in answers if a["outcome"] == "accepted"]
    unknown = sum(a["outcome"] in ("unknown", "no answer") for a in answers)
    run.require(set(known) <= set(applied)
                and len(applied) <= len(known) + unknown,
                f"revisions {applied} after {before}, answers {answers}")
