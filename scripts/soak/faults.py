"""Faults of a run, chosen by the seed; they may overlap.

Each fault records what it disturbs and for how long, because some guarantees
hold only for undisturbed routers.
"""

import asyncio
import contextlib
import signal

FAULTS = {}


def fault(weight=1.0):
    """Registers a fault, chosen in proportion to its weight."""
    def register(function):
        FAULTS[function.__name__] = (function, weight)
        return function
    return register


@contextlib.contextmanager
def record_disturbance(run, kind, routers=()):
    """Records a disturbance of kind "routers", "store" or "servers".

    Without `routers` the disturbance concerns all of them.
    """
    start = run.now()
    names = [router.name for router in routers]
    try:
        yield
    finally:
        run.journal.record("disturbance", kind=kind, routers=names, start=start)


def sample_share(run, population, share):
    """Returns a random sample of a share of the population, at least one."""
    count = max(1, round(share * len(population)))
    return run.random.sample(population, min(count, len(population)))


async def sleep_random(run, minimum, maximum):
    await asyncio.sleep(run.random.uniform(minimum, maximum))


def active_routers(run):
    return [router for router in run.routers
            if router.running() and not router.paused
            and not router.shutting_down]


@fault(2)
async def routers_killed(run):
    routers = sample_share(run, active_routers(run) or run.routers,
                           run.random.choice([0.2, 1]))
    with record_disturbance(run, "routers", routers):
        for router in routers:
            router.kill()
        await sleep_random(run, 0.2, 2)
        for router in routers:
            router.start()
        await asyncio.sleep(0.5)


@fault(2)
async def routers_paused(run):
    routers = sample_share(run, active_routers(run) or run.routers,
                           run.random.choice([0.2, 0.6]))
    with record_disturbance(run, "routers", routers):
        for router in routers:
            router.pause(True)
        await sleep_random(run, 0.3, 6)
        for router in routers:
            router.pause(False)
        await asyncio.sleep(0.3)


@fault(2)
async def router_leaves(run):
    routers = active_routers(run)
    if len(routers) < 2:
        return
    router = run.random.choice(routers)
    code = await router.shut_down()
    run.journal.record("left fleet", router=router.process_name, code=code)
    await sleep_random(run, 0.1, 1)
    with record_disturbance(run, "routers", [router]):
        router.start()
        await asyncio.sleep(0.5)


@fault(0.5)
async def settings_change(run):
    for router in sample_share(run, active_routers(run) or run.routers, 0.5):
        router.signal(signal.SIGHUP)


@fault(2)
async def store_fails(run):
    """Makes the store fail for all routers, or only for some of them."""
    kind = run.random.choice(["busy", "reset", "silent"])
    routers = sample_share(run, run.routers, run.random.choice([0.2, 0.5]))
    names = run.random.choice([["*"], [router.name for router in routers]])
    with record_disturbance(run, "store"):
        for name in names:
            run.store.faults[name] = kind
        await sleep_random(run, 1, 9)
        for name in names:
            run.store.faults.pop(name, None)
        # Server entries that expired are published again within 2 s.
        await asyncio.sleep(2)


@fault()
async def store_is_slow(run):
    with record_disturbance(run, "store"):
        run.store.delay = run.random.uniform(0.1, 0.5)
        await sleep_random(run, 1, 5)
        run.store.delay = 0.004


@fault()
async def store_loses_answers(run):
    with record_disturbance(run, "store"):
        run.store.apply_late = run.random.random() < 0.5
        run.store.lost_reply_share = 0.4
        await sleep_random(run, 1, 5)
        run.store.lost_reply_share = 0.0
        await asyncio.sleep(6 if run.store.apply_late else 0)


@fault()
async def store_forgets(run):
    with record_disturbance(run, "store"):
        run.store.compact()


async def restore_store(run):
    """Restores the store from a copy some seconds old, after an outage or
    without one. The operator writes its objects again about a second later."""
    saved = run.store.make_copy()
    await sleep_random(run, 1, 8)
    outage = run.random.choice([0.0, 0.5, 2.0, 5.0])
    if outage:
        run.store.faults["*"] = "busy"
        await asyncio.sleep(outage)
    current = run.store.objects["config"]["main"]["Spec"]
    run.store.restore(saved)
    run.journal.record("store restored", epoch=run.store.epoch, outage=outage)
    run.store.faults.pop("*", None)
    await sleep_random(run, 0.5, 1.5)
    stored = run.store.objects.get("config", {}).get("main")
    # The configuration may have changed again since the restore.
    if stored is None or stored["Spec"]["Version"] < current["Version"]:
        run.store.put("config", "main", current)
    for domain in sorted(run.evacuated):
        run.store.put("evacuations", domain, {})
    for domain in list(run.store.objects.get("evacuations", {})):
        if domain not in run.evacuated:
            run.store.delete("evacuations", domain)
    # Entries are published again within 2 s.
    await asyncio.sleep(2)


# Chosen only if it is named, so that the seeds of earlier runs keep their faults.
@fault(0)
async def store_is_restored(run):
    """Plays the restore alone, beside the loss of the coordinator, or while
    some routers are cut off from the store."""
    if getattr(run, "restoring", False):
        return
    run.restoring = True
    mode = run.random.choice(["alone", "coordinator", "cut"])
    routers = []
    if mode == "coordinator":
        routers = [router for router in active_routers(run)
                   if router.name == run.store.coordinator()]
    elif mode == "cut":
        routers = sample_share(run, run.routers, 0.4)
    run.journal.record("restore drill", mode=mode,
                       routers=[router.name for router in routers])
    # Without routers nobody but the store is disturbed.
    routers_disturbed = record_disturbance(run, "routers", routers) \
        if routers else contextlib.nullcontext()
    with record_disturbance(run, "store"), routers_disturbed:
        drill = asyncio.create_task(restore_store(run))
        await sleep_random(run, 0.5, 6)
        for router in routers:
            if mode == "coordinator":
                router.kill()
            else:
                router.store_proxy.block("up", "down")
        await sleep_random(run, 0.5, 5)
        for router in routers:
            if mode == "coordinator":
                router.start()
            else:
                router.store_proxy.unblock()
        await drill
    run.restoring = False


@fault(2)
async def store_links_fail(run):
    """Blocks connections of some routers to the store in one or both
    directions, or stalls them."""
    routers = sample_share(run, run.routers, run.random.choice([0.2, 0.6]))
    mode = run.random.choice([("up",), ("down",), ("up", "down"), None])
    with record_disturbance(run, "routers", routers):
        for router in routers:
            if mode:
                router.store_proxy.block(*mode)
            else:
                router.store_proxy.stall_connections()
        await sleep_random(run, 0.5, 6)
        for router in routers:
            router.store_proxy.unblock()


@fault(2)
async def servers_crash(run):
    servers = sample_share(run, [s for s in run.servers if s.up] or run.servers,
                           run.random.choice([0.1, 0.3]))
    reuse_id = run.random.random() < 0.5
    with record_disturbance(run, "servers"):
        for server in servers:
            await server.crash()
        await sleep_random(run, 0.2, 4)
        for server in servers:
            if not server.up:
                await server.start(same_id=reuse_id)


@fault(2)
async def servers_leave(run):
    servers = sample_share(run, [s for s in run.servers if s.state == "ready"]
                           or run.servers, 0.15)
    await asyncio.gather(*[server.drain() for server in servers if server.up])
    await sleep_random(run, 0.1, 1)
    for server in servers:
        if not server.up:
            await server.start()


# Chosen only if it is named, so that the seeds of earlier runs keep their faults.
@fault(0)
async def slow_servers_leave_and_stay(run):
    """Lets servers of one service turn so slow that requests wait for a
    connection, announce that they leave, and serve on for long."""
    service = run.random.choice(sorted({s.service for s in run.servers}))
    ready = [s for s in run.servers
             if s.service == service and s.state == "ready"]
    for server in ready:
        server.slowdown = 40.0
    await sleep_random(run, 1, 2.5)
    leaving = [s for s in sample_share(run, ready, 0.5) if s.up] \
        if ready else []
    draining = asyncio.gather(*[s.drain(drain_s=7.0) for s in leaving])
    await sleep_random(run, 0.5, 3)
    for server in ready:
        server.slowdown = 1.0
    await draining
    for server in leaving:
        if not server.up:
            await server.start()


@fault(2)
async def server_links_fail(run):
    servers = sample_share(run, run.servers, run.random.choice([0.1, 0.3]))
    mode = run.random.choice(
        ["delay", "reset", "up", "down", "both", "silence"])
    with record_disturbance(run, "servers", run.routers):
        for server in servers:
            server_proxy = run.proxies[server]
            if mode == "delay":
                server_proxy.delay = run.random.uniform(0.02, 0.2)
            elif mode == "reset":
                server_proxy.reset_all()
            elif mode == "silence":
                server_proxy.stall_connections()
            else:
                server_proxy.block(
                    *(["up", "down"] if mode == "both" else [mode]))
        await sleep_random(run, 0.3, 5)
        for server in servers:
            run.proxies[server].delay = 0.0
            run.proxies[server].unblock()


# Chosen only if it is named, so that the seeds of earlier runs keep their faults.
@fault(0)
async def server_links_heal(run):
    """Cuts servers off for longer than a grant lasts. What was sent meanwhile
    arrives when the links work again, as TCP sends it again."""
    servers = sample_share(run, [s for s in run.servers if s.keyed], 0.4)
    commands_only = run.random.random() < 0.5
    with record_disturbance(run, "servers", run.routers):
        for server in servers:
            run.proxies[server].block("up", commands_only=commands_only)
        await sleep_random(run, 4, 7)
        for server in servers:
            run.proxies[server].heal()
        await asyncio.sleep(2)


@fault()
async def servers_spoil_answers(run):
    servers = sample_share(run, run.servers, 0.4)
    mode = run.random.choice(["reset", "truncate", "extra", "garbage"])
    with record_disturbance(run, "servers"):
        for server in servers:
            server.corruption, server.corruption_share = mode, 0.2
        await sleep_random(run, 1, 5)
        for server in servers:
            server.corruption = None


# Names that no server has. The last one makes a page of a list by its length.
ODD_NAMES = ["i-odd\n", "i-odd\r\nX: y", " i-odd", "i odd", "i-\u00e5",
             "i-\u0000", "i-odd?after=z", "i-" + "x" * 5000]


# Characters with a meaning in a target, which a name may have too (RFC 3986, 2.2).
RESERVED_CHARACTERS = " &+#%=?;"


def odd_entry(run):
    """Returns an entry that another writer may leave: the copy of that of a
    server, with a field that is missing, of another type or of another server."""
    server, other = run.random.sample(run.servers, 2)
    entry = server.entry()
    match run.random.randrange(4):
        case 0:
            del entry[run.random.choice(sorted(entry))]
        case 1:
            entry[run.random.choice(sorted(entry))] = run.random.choice(
                [None, [], {}, -1, 1e300, "", "\n", "\u00e5", "x" * 500])
        case 2:
            entry["Service"] = other.service
            entry["born"] += run.random.randrange(3)
        case _:
            entry["born"] += run.random.randrange(3)
    return entry


# The faults below are chosen only if they are named, so that the seeds of earlier
# runs keep their faults.
@fault(0)
async def routers_start_beside_odd_names(run):
    """Leaves entries that name no server, so many or so large that the list of
    servers has several pages, and starts all routers again. The entries stay
    until the end of the run, so that callers have to be served beside them.

    Their names have characters that a call for the next page has to encode. Some
    are whole copies of the entry of a server.
    """
    prefix = run.random.choice(["copy of i", "i-kartl", "i-raddning-1", "z"])
    kind = run.random.choice(["large", "incomplete", "copies"])
    content = {"large": "?" * 1_040_000,
               "incomplete": {"Service": "kartlas", "State": "resting"},
               "copies": run.random.choice(run.servers).entry()}[kind]
    for number in range(2 if kind == "large" else 520):
        character = run.random.choice(RESERVED_CHARACTERS)
        run.store.put("servers", f"{prefix}{character}{number}", content)
    routers = active_routers(run) or run.routers
    with record_disturbance(run, "routers"):
        for router in routers:
            router.kill()
        await sleep_random(run, 0.2, 1)
        for router in routers:
            router.start()
        await asyncio.sleep(0.5)


@fault(0)
async def another_writer_leaves_entries(run):
    """Writes, changes and removes odd entries among those of the servers."""
    names = [run.random.choice(ODD_NAMES), "i-mirror", "i-mirror-2"]
    with record_disturbance(run, "servers"):
        for _ in range(run.random.randrange(4, 16)):
            name = run.random.choice(names)
            if run.random.random() < 0.3:
                run.store.delete("servers", name)
            else:
                run.store.put("servers", name, odd_entry(run))
            await sleep_random(run, 0.02, 0.5)
        for name in names:
            run.store.delete("servers", name)
        # Requests for keys of a server that has never existed are refused until
        # the keys have moved back.
        await asyncio.sleep(4)


@fault(0)
async def servers_spoil_handovers(run):
    """Spoils the handover of keys while servers drain, so that keys move."""
    keyed = [server for server in run.servers if server.keyed]
    with record_disturbance(run, "servers"):
        for server in keyed:
            server.spoiled_handover = run.random.choice(
                ["\xff\xfe", "\x80", "a\xc3", "x" * 9000])
        leaving = run.random.choice([s for s in keyed if s.state == "ready"]
                                    or keyed)
        await leaving.drain()
        if not leaving.up:
            await leaving.start()
        await asyncio.sleep(1)
        for server in keyed:
            server.spoiled_handover = ""


@fault(0)
async def callers_stop_in_requests(run):
    """Sends requests in part, waits and closes, or closes at once."""
    parts = [b"GET /map-re", b"GET / HTTP/1.1\r\nHost: maps.exa",
             b"POST / HTTP/1.1\r\nHost: maps.example\r\nContent-Length: 90"
             b"\r\n\r\nabc",
             b"POST / HTTP/1.1\r\nHost: maps.example\r\nTransfer-Encoding: "
             b"chunked\r\n\r\n5\r\nab"]

    async def stop_in_request(router):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(*router.caller_address)
            writer.write(run.random.choice(parts))
            await sleep_random(run, 0, 3)
            writer.close()
    await asyncio.gather(*[stop_in_request(router)
                           for router in active_routers(run) * 3])


@fault()
async def servers_apply_orders_late(run):
    with record_disturbance(run, "servers"):
        for server in run.servers:
            server.delayed_command_share = 0.3
        await sleep_random(run, 1, 5)
        for server in run.servers:
            server.delayed_command_share = 0.0
        await asyncio.sleep(6)


@fault()
async def servers_are_slow_or_refuse(run):
    servers = sample_share(run, run.servers, 0.3)
    slow = run.random.random() < 0.5
    with record_disturbance(run, "servers"):
        for server in servers:
            if slow:
                server.slowdown = 5.0
            else:
                server.refusal_share = 0.5
        await sleep_random(run, 1, 5)
        for server in servers:
            server.slowdown, server.refusal_share = 1.0, 0.0


@fault()
async def servers_lose_the_store(run):
    """Lets the entries of some servers expire while they keep serving."""
    servers = sample_share(run, run.servers, 0.2)
    with record_disturbance(run, "servers"):
        for server in servers:
            server.cut_from_store = True
        await sleep_random(run, 2, 6)
        for server in servers:
            server.cut_from_store = False
        await asyncio.sleep(1)


@fault(1.5)
async def configuration_changes(run):
    for _ in range(run.random.choice([1, 1, 5])):
        if not run.store.is_down():
            run.configure()
        await sleep_random(run, 0.1, 0.6)


@fault()
async def domain_is_evacuated(run):
    domain = run.random.choice(["se-mitt-a", "se-mitt-b", "se-mitt-c"])
    if run.store.is_down() or run.evacuated:
        return
    run.evacuated.add(domain)
    run.store.put("evacuations", domain, {})
    run.journal.record("evacuated", domain=domain)
    await sleep_random(run, 6, 9)
    while run.store.is_down():
        await asyncio.sleep(0.1)
    run.store.delete("evacuations", domain)
    run.journal.record("returned", domain=domain)
    run.evacuated.discard(domain)


async def inject_faults(run, seconds, only=None):
    """Starts faults for `seconds` and returns when all have ended."""
    names = [name for name in FAULTS if only is None or name in only]
    # Those that are chosen only by name count like the others then.
    weights = [FAULTS[name][1] or (only is not None) for name in names]
    end = run.now() + seconds
    active_faults = set()
    while run.now() < end:
        name = run.random.choices(names, weights)[0]
        run.journal.record("fault", name=name)
        for _ in range(run.random.choice([1, 1, 1, 2])):
            task = asyncio.create_task(FAULTS[name][0](run))
            active_faults.add(task)
            await sleep_random(run, 0.0, 1.2)
        await sleep_random(run, 0.2, 2.5)
    await asyncio.gather(*active_faults)
