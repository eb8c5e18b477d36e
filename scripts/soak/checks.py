"""Checks of the guarantees over the journal of a run.

Each check yields a text per violation:

    failures = [text for check in CHECKS for text in check(run)]
"""

import collections
import json

import deployment
import servers

CHECKS = []
# A router counts as undisturbed again this long after a disturbance
# (ContactMs). Faults of the store may extend a bound by MaxStretchMs.
CONTACT_S = 3.0
MAX_STRETCH_S = 5.0
CONFIG_APPLY_S = 2.0
EVACUATE_S = 5.0
DRAIN_S = deployment.BOUNDS["DrainMs"] / 1000
ROLLBACK_SLACK_S = 0.25
# Limit of requests within one second. The journal is in arrival order.
MAX_COLD_REQUESTS = (
    servers.COLD_REQUESTS_PER_S * deployment.BOUNDS["WarmupFactor"]
    + deployment.BOUNDS["WarmupTolerance"])
# Two servers may hold the same keys for this long.
MAX_SHARED_HOLD_S = 0.5
HOLD_SAMPLE_S = 0.05
# Bytes of a cancelled request may still be in transit for this long.
CANCEL_SLACK_S = 0.5
# Time after the last fault until MIN_RECOVERED_SHARE of requests are served.
RECOVERY_S = 8.0
MIN_RECOVERED_SHARE = 0.9
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}


def check(function):
    """Registers a check of a run."""
    CHECKS.append(function)
    return function


def events(run, *names):
    """Returns the journal events with one of the names."""
    return [e for e in run.journal.events if e["what"] in names]


def requests_by_id(run):
    return {e["request"]: e for e in events(run, "request")}


def was_disturbed(run, router, start, end,
                  kinds=("routers", "store", "servers")):
    """Returns whether a fault of one of the kinds affected a router process, or
    whether it had just started, between `start` and `end`."""
    name = router.split("#")[0]
    for e in events(run, "disturbance"):
        if e["kind"] in kinds and e["start"] <= end and start <= e["at"] \
                and (not e["routers"] or name in e["routers"]):
            return True
    started = [e["at"] for e in events(run, "router started")
               if e["router"] == router]
    return bool(started) and start < started[0] + CONTACT_S


@check
def answers_are_own_and_complete(run):
    sent = requests_by_id(run)
    for e in events(run, "answer"):
        if not 200 <= e["status"] < 300:
            continue
        request_id = e["request"]
        try:
            content = json.loads(e["content"])
        except ValueError:
            content = {}
        if (e["echo"], content.get("request"), content.get("bytes"),
                e["signature"]) != (
                    request_id, request_id, len(sent[request_id]["body"]),
                    f"{content.get('server')}.{request_id}"):
            yield (f"{request_id}: answer {e['content'][:80]!r}, "
                   f"echo {e['echo']}, signature {e['signature']}")


@check
def requests_reach_servers_unchanged(run):
    sent = requests_by_id(run)
    for e in events(run, "begin"):
        request = sent.get(e["request"])
        if request is None:
            yield (f"{e['server'].id} executed {e['request']}, "
                   "which no caller sent")
        elif request["body"] != e["body"] or \
                e["line"].split(" ")[1] != request["target"]:
            yield (f"{e['request']} arrived with a changed target or body: "
                   f"{e['line']}")


@check
def requests_go_to_their_service(run):
    sent = requests_by_id(run)
    for e in events(run, "begin"):
        kind = sent[e["request"]]["kind"] if e["request"] in sent else None
        if kind and kind.service != e["server"].service:
            yield f"{e['request']} ran at {e['server'].id}"


@check
def unsafe_requests_run_once(run):
    sent = requests_by_id(run)
    count = collections.Counter(e["request"] for e in events(run, "begin"))
    for request_id, times in count.items():
        kind = sent[request_id]["kind"] if request_id in sent else None
        if times > 1 and kind and not kind.repeatable:
            yield f"{request_id} ran {times} times"


@check
def refusals_are_true(run):
    sent = requests_by_id(run)
    ran = {e["request"] for e in events(run, "begin")}
    for e in events(run, "answer"):
        kind = sent[e["request"]]["kind"]
        if e["status"] in NOT_EXECUTED_STATUSES and e["request"] in ran \
                and kind and not kind.repeatable:
            yield f"{e['request']} was answered {e['status']} and ran"
        if e["status"] == 503 and e["retry_after"] is None:
            yield f"{e['request']} was refused without Retry-After"


@check
def keys_have_one_owner(run):
    """Checks that two server incarnations do not both begin requests on a key
    while both hold a grant of it."""
    grants = {}
    # Time of the last begin by server and key.
    last_begin = {}

    def held_since(server, key, at):
        return next((since for first, last, _, end, since in grants[server]
                     if first <= key <= last and at < end), None)

    for e in run.journal.events:
        server = e.get("server")
        if e["what"] in ("life", "ended"):
            grants[server] = []
        elif e["what"] in ("grant", "release"):
            grants[server] = e["holds"]
        elif e["what"] == "begin" and e["key"] is not None:
            key, at = e["key"], e["at"]
            last_begin[server, key] = at
            for other in grants:
                since = held_since(other, key, at)
                if other is not server and since is not None and \
                        last_begin.get((other, key), -1.0) >= \
                        max(since, e["since"]):
                    yield (f"key {key} at {at:.2f}: {server.id} began "
                           f"{e['request']} while {other.id} also held it")


def shared_keys(holds, at):
    """Returns the first key that each pair of servers holds in common."""
    held = sorted(((first, last, server.number, server)
                   for server, grants in holds.items()
                   for first, last, _, end, _ in grants if end > at),
                  key=lambda item: item[:3])
    shared = {}
    for index, (_, last, _, server) in enumerate(held):
        for other_first, _, _, other in held[index + 1:]:
            if other_first > last:
                break
            if other is not server:
                pair = tuple(sorted((server, other), key=lambda s: s.number))
                shared.setdefault(pair, other_first)
    return shared


@check
def keys_have_one_holder(run):
    """Checks that two servers do not hold the same keys for longer than the
    bound, with requests or without. Grants that a server took late do not
    count."""
    changes = events(run, "ended", "grant", "release")
    holds = {}
    late = set()
    shared_since = {}
    at = 0.0
    for change in [*changes, {"at": run.ended_at}]:
        while at < change["at"]:
            shared = shared_keys(holds, at)
            shared_since = {pair: shared_since.get(pair, at)
                            for pair in shared}
            for pair, since in shared_since.items():
                if at - since > MAX_SHARED_HOLD_S:
                    yield (f"{pair[0].id} and {pair[1].id} both hold key "
                           f"{shared[pair]} from {since:.2f} on")
                    return
            at += HOLD_SAMPLE_S
        server = change.get("server")
        if change.get("late"):
            late.add((server, change["fence"]))
        holds[server] = [grant for grant in change.get("holds", [])
                         if (server, grant[2]) not in late]


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


def requests_after_bound(run, request_event, start_event, end_events, bound,
                         subject):
    """Yields requests of undisturbed routers with a `request_event` later than
    `bound` seconds after a `start_event` of its subject and before one of
    `end_events`."""
    sent = requests_by_id(run)
    started_at = {}
    for e in run.journal.events:
        if e["what"] == start_event:
            started_at[subject(e)] = e["at"]
        elif e["what"] in end_events:
            started_at.pop(subject(e), None)
        elif e["what"] == request_event and subject(e) in started_at \
                and not e.get("misdirected"):
            since = started_at[subject(e)]
            router = sent[e["request"]]["router"]
            if e["at"] > since + bound and not was_disturbed(
                    run, router, since - CONTACT_S, e["at"]):
                yield (f"{e['request']} reached {e['server'].id} "
                       f"{e['at'] - since:.2f} s after it was {start_event}")


@check
def draining_servers_are_left_alone(run):
    # Requests that arrived in time may still wait in the queue of the server.
    return requests_after_bound(run, "arrival", "draining", ("life",), DRAIN_S,
                                lambda e: e["server"])


@check
def evacuated_domains_are_left_alone(run):
    return requests_after_bound(
        run, "begin", "evacuated", ("returned",), EVACUATE_S,
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
        if len(times) > MAX_COLD_REQUESTS:
            yield (f"{e['server'].id} got {len(times)} requests in a second at "
                   f"{e['at']:.2f} while cold, at most {MAX_COLD_REQUESTS}")


@check
def retries_stay_in_their_budget(run):
    window = deployment.BOUNDS["RetryWindowS"]
    sent = requests_by_id(run)
    send_times = collections.defaultdict(list)
    retry_times = collections.defaultdict(list)
    for request in sent.values():
        if request["kind"]:
            send_times[request["kind"].service].append(request["at"])
    seen_requests = set()
    for e in events(run, "arrival"):
        if e["request"] in seen_requests:
            retry_times[e["server"].service].append(e["at"])
        seen_requests.add(e["request"])
    for service, times in retry_times.items():
        for end in times:
            retry_count = sum(1 for t in times if end - window < t <= end)
            first_attempts = max(sum(1 for t in send_times[service]
                                     if end - back - window < t <= end - back)
                                 for back in (0, window / 2, window))
            allowed = (first_attempts * deployment.BOUNDS["RetryBudgetRatio"]
                       + deployment.BOUNDS["RetryAllowance"])
            if retry_count > allowed:
                yield (f"{service}: {retry_count} repeats in {window} s before "
                       f"{end:.1f}, at most {allowed:.0f}")
                break


@check
def configurations_come_in_time_and_stay(run):
    configured_at = {e["version"]: e["at"] for e in events(run, "configured")}
    newest_versions = {}
    for e in events(run, "probe"):
        if e["unknown"]:
            continue
        version, router = e["version"], e["router"]
        retired_at = configured_at.get(version + 2)
        slack = CONFIG_APPLY_S
        if was_disturbed(run, router, configured_at[version] - CONTACT_S,
                         e["at"], ("store",)):
            slack += MAX_STRETCH_S
        undisturbed = not was_disturbed(
            run, router, configured_at[version] - CONTACT_S, e["at"],
            ("routers", "store"))
        found_late = retired_at is not None and e["found"] and \
            e["sent"] > retired_at + slack and not was_disturbed(
                run, router, retired_at - CONTACT_S, e["at"],
                ("routers", "store"))
        missing_late = not e["found"] and retired_at is None and \
            undisturbed and e["sent"] > configured_at[version] + slack
        if found_late or missing_late:
            yield (f"{router} at {e['sent']:.2f}: version {version} "
                   f"{'still' if found_late else 'not'} in force")
        newest_version, since = newest_versions.get(router, (0, 0))
        if e["found"] and version <= newest_version - 2 and \
                e["sent"] > since + ROLLBACK_SLACK_S:
            yield (f"{router} at {e['sent']:.2f}: version {version} after "
                   f"version {newest_version}")
        if e["found"] and version > newest_version:
            newest_versions[router] = (version, e["at"])


@check
def leaving_routers_answer_everything(run):
    arrived = {e["request"] for e in events(run, "arrival")}
    sent = requests_by_id(run)
    for e in events(run, "cut"):
        router = sent[e["request"]]["router"]
        if e["request"] in arrived and not was_disturbed(
                run, router, sent[e["request"]]["at"] - CONTACT_S, e["at"],
                ("routers",)):
            yield (f"{e['request']} through {router} got no complete answer: "
                   f"{e['why']}")
    for e in events(run, "overstayed"):
        if not was_disturbed(run, e["router"], e["at"] - 9, e["at"],
                             ("routers",)):
            yield f"{e['router']} did not exit within its grace period"


@check
def cancelled_requests_are_not_begun(run):
    left_at = {e["request"]: e["at"] for e in events(run, "left")}
    sent = requests_by_id(run)
    late = [e["request"] for e in events(run, "begin")
            if e["at"] > left_at.get(e["request"], e["at"]) + CANCEL_SLACK_S
            and not was_disturbed(run, sent[e["request"]]["router"],
                                  left_at[e["request"]] - CONTACT_S, e["at"])]
    if len(late) > 3:
        yield (f"{len(late)} requests began after their caller disconnected: "
               f"{late[:3]}")


@check
def processes_end_only_when_told(run):
    for e in events(run, "left fleet"):
        if e["code"] not in (0, -9):
            yield f"{e['router']} exited with code {e['code']}, expected 0"
    for text in run.unexpected_exits:
        yield text


@check
def callers_are_served_after_the_faults(run):
    begin = run.faults_ended_at + RECOVERY_S
    sent_requests = [e for e in events(run, "request")
                     if e["kind"] and begin < e["at"] < run.ended_at - 1]
    served = {e["request"] for e in events(run, "answer")
              if 200 <= e["status"] < 300}
    cancelled = {e["request"] for e in events(run, "left")}
    sent_requests = [e["request"] for e in sent_requests
                     if e["request"] not in cancelled]
    served_count = sum(1 for request_id in sent_requests
                       if request_id in served)
    if served_count < MIN_RECOVERED_SHARE * len(sent_requests) \
            or not sent_requests:
        yield (f"{served_count} of {len(sent_requests)} requests were served "
               f"after the faults, expected {MIN_RECOVERED_SHARE:.0%}")
