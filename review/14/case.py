"""A planned stop of one router while callers have several safe requests under
way on a connection. Each request that was passed on to a server needs its whole
answer."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import harness  # noqa: E402
from harness import TROUBLE, http1  # noqa: E402

CALLERS = 6
PIPELINED = 2
CALLER_WAITS_MS = 2000
# Mean work of a request, with room for all requests of the callers.
SERVICES = {"kartlas": (2, True, 0.03), "kartskriv": (2, False, 0.04),
            "skanintag": (2, False, 0.04), "raddning": (6, False, 0.09)}
WORK_BEFORE_THE_STOP_S = 2.0
WORK_AFTER_THE_STOP_S = 7.0


async def work(run, case, router, number, sent, answers, until):
    """Sends pairs of requests on one connection until it is closed."""
    count = 0
    try:
        reader, writer = await asyncio.open_connection(*router.caller_address)
    except OSError:
        return
    while run.now() < until():
        count += 1
        ids = [f"read-{number}-{count}-{place}" for place in range(PIPELINED)]
        for request in ids:
            sent[request] = run.now()
        writer.write(b"".join(http1.encode_request(
            "GET", f"/rescue-read/{request}",
            {"Host": "maps.example", "X-Filberthub-Request-Id": request,
             "X-Filberthub-Deadline-Ms": CALLER_WAITS_MS})
            for request in ids))
        for request in ids:
            try:
                answer = await asyncio.wait_for(
                    http1.read_message(reader), CALLER_WAITS_MS / 1000)
            except asyncio.TimeoutError:
                case.note(f"{request}: the caller's time is over")
                answers[request] = "late"
                writer.close()
                return
            except (OSError, ValueError, asyncio.IncompleteReadError) as end:
                case.note(f"{request}: cut, {end!r}")
                return
            if answer is None:
                case.note(f"{request}: the connection ended, no answer")
                return
            answers[request] = answer.status
            if answer.headers.get("connection", "").lower() == "close":
                case.note(f"{request}: {answer.status}, Connection: close")
                # What was sent behind it is read to the end of the connection.
                continue
        if any(request not in answers for request in ids) or \
                reader.at_eof():
            writer.close()
            return
        await asyncio.sleep(0.02)
    writer.close()


async def scenario(run, case):
    router = run.routers[0]
    sent, answers = {}, {}
    end = run.now() + WORK_BEFORE_THE_STOP_S + WORK_AFTER_THE_STOP_S
    callers = [asyncio.create_task(
        work(run, case, router, number, sent, answers, lambda: end))
        for number in range(CALLERS)]
    await asyncio.sleep(WORK_BEFORE_THE_STOP_S)
    if TROUBLE:
        case.note(f"SIGTERM to {router.name}")
        router.signal(harness.signal.SIGTERM)
    else:
        end = run.now() + 1
    await asyncio.gather(*callers)
    await asyncio.sleep(0.5)
    arrivals = {event["request"]: event for event in run.journal.events
                if event["what"] == "arrival"}
    begun = {event["request"] for event in run.journal.events
             if event["what"] == "begin"}
    for request, at in sent.items():
        arrival = arrivals.get(request)
        place = "not passed on" if arrival is None else (
            f"reached {arrival['server'].id} at {arrival['at']:.3f}, "
            f"{'begun' if request in begun else 'not begun'}")
        case.note(f"{request}: sent at {at:.3f}, {place}, "
                  f"answer {answers.get(request)}")
        if arrival is not None and request not in answers:
            case.fail(f"{request} was passed on to {arrival['server'].id} "
                      "and got no answer")
    case.note(f"{len(sent)} requests, {len(answers)} answers")


if __name__ == "__main__":
    sys.exit(harness.play(FOLDER, scenario, services=SERVICES))
