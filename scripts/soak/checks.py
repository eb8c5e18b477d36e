"""Promises, checked over the journal of a run. Each check returns violations.

    failures = [text for check in CHECKS for text in check(run)]
"""

import collections
import json

import deployment
import servers

CHECKS = []
# A router counts as undisturbed this long after a disturbance (ContactMs), and
# the store's trouble may stretch bounds (MaxStretchMs).
CONTACT = 3.0
STRETCH = 5.0
CONFIG_APPLY = 2.0
EVACUATE = 5.0
DRAIN = deployment.BOUNDS["DrainMs"] / 1000
ROLLBACK_SLACK = 0.25
# A cold bound counts requests of one second; the journal is in arrival order.
COLD_MOST = (servers.COLD_RATE * deployment.BOUNDS["WarmupFactor"]
             + deployment.BOUNDS["WarmupTolerance"])
# Bytes of a cancelled request may be on the way for this long.
LEAVE_SLACK = 0.5
# With every fault over, all but a few requests are served again by then.
CALM = 8.0
CALM_SERVED = 0.9
PROMISED_NOT_RUN = {408, 421, 429, 503}


def check(function):
    CHECKS.append(function)
    return function


def events(run, *names):
    return [e for e in run.journal.events if e["what"] in names]


def requests_of(run):
    return {e["request"]: e for e in events(run, "request")}


def disturbed(run, router, start, end, kinds=("routers", "store", "servers")):
    """Whether a router, by the name of its run, was disturbed in a time."""
    name = router.split("#")[0]
    for e in events(run, "disturbance"):
        if e["kind"] in kinds and e["start"] <= end and start <= e["at"] \
                and (not e["routers"] or name in e["routers"]):
            return True
    started = [e["at"] for e in events(run, "router started")
               if e["router"] == router]
    return bool(started) and start < started[0] + CONTACT


@check
def answers_are_own_and_complete(run):
    sent = requests_of(run)
    for e in events(run, "answer"):
        if not 200 <= e["status"] < 300:
            continue
        identity = e["request"]
        try:
            content = json.loads(e["content"])
        except ValueError:
            content = {}
        if (e["echo"], content.get("request"), content.get("bytes"),
                e["signature"]) != (
                    identity, identity, len(sent[identity]["body"]),
                    f"{content.get('server')}.{identity}"):
            yield (f"{identity}: answer {e['content'][:80]!r}, "
                   f"echo {e['echo']}, signature {e['signature']}")


@check
def requests_reach_servers_unchanged(run):
    sent = requests_of(run)
    for e in events(run, "begin"):
        request = sent.get(e["request"])
        if request is None:
            yield f"{e['server'].id} ran {e['request']}, which nobody sent"
        elif request["body"] != e["body"] or \
                e["line"].split(" ")[1] != request["target"]:
            yield f"{e['request']} was changed: {e['line']}"


@check
def requests_go_to_their_service(run):
    sent = requests_of(run)
    for e in events(run, "begin"):
        kind = sent[e["request"]]["kind"] if e["request"] in sent else None
        if kind and kind.service != e["server"].service:
            yield f"{e['request']} ran at {e['server'].id}"


@check
def unsafe_requests_run_once(run):
    sent = requests_of(run)
    count = collections.Counter(e["request"] for e in events(run, "begin"))
    for identity, times in count.items():
        kind = sent[identity]["kind"] if identity in sent else None
        if times > 1 and kind and not kind.repeatable:
            yield f"{identity} ran {times} times"


@check
def refusals_are_true(run):
    sent = requests_of(run)
    ran = {e["request"] for e in events(run, "begin")}
    for e in events(run, "answer"):
        kind = sent[e["request"]]["kind"]
        if e["status"] in PROMISED_NOT_RUN and e["request"] in ran and kind \
                and not kind.repeatable:
            yield f"{e['request']} was answered {e['status']} and ran"
        if e["status"] == 503 and e["retry_after"] is None:
            yield f"{e['request']} was refused without Retry-After"


@check
def keys_have_one_owner(run):
    """Two lives must not both begin requests on a key while both hold it."""
    holds = {}
    # Last begin by server and key.
    begun = {}

    def held_since(server, key, at):
        return next((since for first, last, _, end, since in holds[server]
                     if first <= key <= last and at < end), None)

    for e in run.journal.events:
        server = e.get("server")
        if e["what"] in ("life", "ended"):
            holds[server] = []
        elif e["what"] in ("grant", "release"):
            holds[server] = e["holds"]
        elif e["what"] == "begin" and e["key"] is not None:
            key, at = e["key"], e["at"]
            begun[server, key] = at
            for other in holds:
                since = held_since(other, key, at)
                if other is not server and since is not None and \
                        begun.get((other, key), -1.0) >= max(since, e["since"]):
                    yield (f"key {key} at {at:.2f}: {server.id} began "
                           f"{e['request']} while {other.id} held it too")


@check
def fencing_tokens_rise(run):
    highest = []
    for e in events(run, "grant"):
        if e["renewed"] or e["late"]:
            continue
        for first, last, fence, server in highest:
            if first <= e["last"] and e["first"] <= last and (
                    server != (e["server"].number, e["life"])
                    and fence >= e["fence"]):
                yield (f"{e['server'].id} took {e['first']}-{e['last']} with "
                       f"token {e['fence']}, {fence} was used before")
                break
        highest = [h for h in highest
                   if not (e["first"] <= h[0] and h[1] <= e["last"])]
        highest.append((e["first"], e["last"], e["fence"],
                        (e["server"].number, e["life"])))


def late_begins(run, begins, ends, bound, subject):
    """Requests that undisturbed routers sent to a server later than `bound`
    after an event `begins` of its subject, and before an event of `ends`."""
    sent = requests_of(run)
    left = {}
    for e in run.journal.events:
        if e["what"] == begins:
            left[subject(e)] = e["at"]
        elif e["what"] in ends:
            left.pop(subject(e), None)
        elif e["what"] == "begin" and subject(e) in left:
            since = left[subject(e)]
            router = sent[e["request"]]["router"]
            if e["at"] > since + bound and not disturbed(
                    run, router, since - CONTACT, e["at"]):
                yield (f"{e['request']} reached {e['server'].id} "
                       f"{e['at'] - since:.2f} s after it was {begins}")


@check
def draining_servers_are_left_alone(run):
    return late_begins(run, "draining", ("life",), DRAIN,
                       lambda e: e["server"])


@check
def evacuated_domains_are_left_alone(run):
    return late_begins(
        run, "evacuated", ("returned",), EVACUATE,
        lambda e: e["domain"] if "domain" in e else e["server"].zone)


@check
def cold_servers_keep_their_bound(run):
    recent = collections.defaultdict(collections.deque)
    for e in events(run, "arrival"):
        if not e["cold"]:
            continue
        times = recent[e["server"]]
        times.append(e["at"])
        while times[0] <= e["at"] - 1:
            times.popleft()
        if len(times) > COLD_MOST:
            yield (f"{e['server'].id} got {len(times)} requests in a second at "
                   f"{e['at']:.2f} while cold, at most {COLD_MOST}")


@check
def retries_stay_in_their_budget(run):
    window = deployment.BOUNDS["RetryWindowS"]
    sent = requests_of(run)
    asked = collections.defaultdict(list)
    repeats = collections.defaultdict(list)
    for request in sent.values():
        if request["kind"]:
            asked[request["kind"].service].append(request["at"])
    seen = set()
    for e in events(run, "arrival"):
        if e["request"] in seen:
            repeats[e["server"].service].append(e["at"])
        seen.add(e["request"])
    for service, times in repeats.items():
        for end in times:
            used = sum(1 for t in times if end - window < t <= end)
            most = max(sum(1 for t in asked[service]
                           if end - back - window < t <= end - back)
                       for back in (0, window / 2, window))
            allowed = (most * deployment.BOUNDS["RetryBudgetRatio"]
                       + deployment.BOUNDS["RetryAllowance"])
            if used > allowed:
                yield (f"{service}: {used} repeats in {window} s before "
                       f"{end:.1f}, at most {allowed:.0f}")
                break


@check
def configurations_come_in_time_and_stay(run):
    made = {e["version"]: e["at"] for e in events(run, "configured")}
    newest = {}
    for e in events(run, "probe"):
        if e["unknown"]:
            continue
        version, router = e["version"], e["router"]
        gone = made.get(version + 2)
        slack = CONFIG_APPLY
        if disturbed(run, router, made[version] - CONTACT, e["at"], ("store",)):
            slack += STRETCH
        calm = not disturbed(
            run, router, made[version] - CONTACT, e["at"], ("routers", "store"))
        late_found = gone is not None and e["found"] and \
            e["sent"] > gone + slack and not disturbed(
                run, router, gone - CONTACT, e["at"], ("routers", "store"))
        late_missing = not e["found"] and gone is None and calm and \
            e["sent"] > made[version] + slack
        if late_found or late_missing:
            yield (f"{router} at {e['sent']:.2f}: version {version} "
                   f"{'still' if late_found else 'not'} in force")
        seen, since = newest.get(router, (0, 0))
        if e["found"] and version <= seen - 2 and \
                e["sent"] > since + ROLLBACK_SLACK:
            yield (f"{router} at {e['sent']:.2f}: version {version} after "
                   f"version {seen}")
        if e["found"] and version > seen:
            newest[router] = (version, e["at"])


@check
def leaving_routers_answer_everything(run):
    arrived = {e["request"] for e in events(run, "arrival")}
    sent = requests_of(run)
    for e in events(run, "cut"):
        router = sent[e["request"]]["router"]
        if e["request"] in arrived and not disturbed(
                run, router, sent[e["request"]]["at"] - CONTACT, e["at"],
                ("routers",)):
            yield f"{e['request']} through {router} was cut: {e['why']}"
    for e in events(run, "overstayed"):
        if not disturbed(run, e["router"], e["at"] - 9, e["at"], ("routers",)):
            yield f"{e['router']} did not end within its grace time"


@check
def cancelled_requests_are_not_begun(run):
    left = {e["request"]: e["at"] for e in events(run, "left")}
    sent = requests_of(run)
    late = [e["request"] for e in events(run, "begin")
            if e["at"] > left.get(e["request"], e["at"]) + LEAVE_SLACK
            and not disturbed(run, sent[e["request"]]["router"],
                              left[e["request"]] - CONTACT, e["at"])]
    if len(late) > 3:
        yield f"{len(late)} requests began after their caller left: {late[:3]}"


@check
def processes_end_only_when_told(run):
    for e in events(run, "left fleet"):
        if e["code"] not in (0, -9):
            yield f"{e['router']} ended with {e['code']}, expected 0"
    for text in run.unexpected_ends:
        yield text


@check
def callers_are_served_after_the_faults(run):
    begin = run.calm_since + CALM
    asked = [e for e in events(run, "request")
             if e["kind"] and begin < e["at"] < run.ended - 1]
    served = {e["request"] for e in events(run, "answer")
              if 200 <= e["status"] < 300}
    left = {e["request"] for e in events(run, "left")}
    asked = [e["request"] for e in asked if e["request"] not in left]
    good = sum(1 for identity in asked if identity in served)
    if good < CALM_SERVED * len(asked) or not asked:
        yield (f"{good} of {len(asked)} requests were served after the faults, "
               f"expected {CALM_SERVED:.0%}")
