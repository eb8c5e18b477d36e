"""Faults of a run: series that overlap, drawn from the seed.

Each fault notes what it disturbs and for how long, because some promises hold
only for routers that nothing disturbed.
"""

import asyncio
import contextlib
import signal

FAULTS = {}


def fault(weight=1.0):
    def keep(function):
        FAULTS[function.__name__] = (function, weight)
        return function
    return keep


@contextlib.contextmanager
def disturbing(run, kind, routers=()):
    """Notes a disturbance of routers, of the store ("store") or of servers."""
    start = run.now()
    names = [router.name for router in routers]
    try:
        yield
    finally:
        run.journal.note("disturbance", kind=kind, routers=names, start=start)


def some(run, items, share):
    count = max(1, round(share * len(items)))
    return run.random.sample(items, min(count, len(items)))


async def hold(run, least, most):
    await asyncio.sleep(run.random.uniform(least, most))


def alive(run):
    return [router for router in run.routers
            if router.running() and not router.paused and not router.leaving]


@fault(2)
async def routers_killed(run):
    routers = some(run, alive(run) or run.routers, run.random.choice([0.2, 1]))
    with disturbing(run, "routers", routers):
        for router in routers:
            router.kill()
        await hold(run, 0.2, 2)
        for router in routers:
            router.start()
        await asyncio.sleep(0.5)


@fault(2)
async def routers_paused(run):
    routers = some(run, alive(run) or run.routers, run.random.choice([0.2, 0.6]))
    with disturbing(run, "routers", routers):
        for router in routers:
            router.pause(True)
        await hold(run, 0.3, 6)
        for router in routers:
            router.pause(False)
        await asyncio.sleep(0.3)


@fault(2)
async def router_leaves(run):
    routers = alive(run)
    if len(routers) < 2:
        return
    router = run.random.choice(routers)
    code = await router.leave()
    run.journal.note("left fleet", router=router.run_name, code=code)
    await hold(run, 0.1, 1)
    with disturbing(run, "routers", [router]):
        router.start()
        await asyncio.sleep(0.5)


@fault(0.5)
async def settings_change(run):
    for router in some(run, alive(run) or run.routers, 0.5):
        router.signal(signal.SIGHUP)


@fault(2)
async def store_fails(run):
    """For all routers, or for some while it serves the others."""
    kind = run.random.choice(["busy", "reset", "silent"])
    routers = some(run, run.routers, run.random.choice([0.2, 0.5]))
    names = run.random.choice([["*"], [router.name for router in routers]])
    with disturbing(run, "store"):
        for name in names:
            run.store.faults[name] = kind
        await hold(run, 1, 9)
        for name in names:
            run.store.faults.pop(name, None)
        # Entries that lapsed are back within two seconds.
        await asyncio.sleep(2)


@fault()
async def store_is_slow(run):
    with disturbing(run, "store"):
        run.store.delay = run.random.uniform(0.1, 0.5)
        await hold(run, 1, 5)
        run.store.delay = 0.004


@fault()
async def store_loses_answers(run):
    with disturbing(run, "store"):
        run.store.late = run.random.random() < 0.5
        run.store.lost_share = 0.4
        await hold(run, 1, 5)
        run.store.lost_share = 0.0
        await asyncio.sleep(6 if run.store.late else 0)


@fault()
async def store_forgets(run):
    with disturbing(run, "store"):
        run.store.compact()


@fault(2)
async def store_links_fail(run):
    """Links of some routers to the store are cut, one way or both, or their
    connections fall silent."""
    routers = some(run, run.routers, run.random.choice([0.2, 0.6]))
    how = run.random.choice([("up",), ("down",), ("up", "down"), None])
    with disturbing(run, "routers", routers):
        for router in routers:
            if how:
                router.store_proxy.begin_cut(*how)
            else:
                router.store_proxy.silence()
        await hold(run, 0.5, 6)
        for router in routers:
            router.store_proxy.heal()


@fault(2)
async def servers_crash(run):
    servers = some(run, [s for s in run.servers if s.up] or run.servers,
                   run.random.choice([0.1, 0.3]))
    same = run.random.random() < 0.5
    with disturbing(run, "servers"):
        for server in servers:
            await server.crash()
        await hold(run, 0.2, 4)
        for server in servers:
            if not server.up:
                await server.start(same_id=same)


@fault(2)
async def servers_leave(run):
    servers = some(run, [s for s in run.servers if s.state == "ready"]
                   or run.servers, 0.15)
    await asyncio.gather(*[server.drain() for server in servers if server.up])
    await hold(run, 0.1, 1)
    for server in servers:
        if not server.up:
            await server.start()


@fault(2)
async def server_links_fail(run):
    servers = some(run, run.servers, run.random.choice([0.1, 0.3]))
    how = run.random.choice(["delay", "reset", "up", "down", "both", "silence"])
    with disturbing(run, "servers", run.routers):
        for server in servers:
            link = run.proxies[server]
            if how == "delay":
                link.delay = run.random.uniform(0.02, 0.2)
            elif how == "reset":
                link.reset_all()
            elif how == "silence":
                link.silence()
            else:
                link.begin_cut(*(["up", "down"] if how == "both" else [how]))
        await hold(run, 0.3, 5)
        for server in servers:
            run.proxies[server].delay = 0.0
            run.proxies[server].heal()


@fault()
async def servers_spoil_answers(run):
    servers = some(run, run.servers, 0.4)
    how = run.random.choice(["reset", "truncate", "extra", "garbage"])
    with disturbing(run, "servers"):
        for server in servers:
            server.spoil, server.spoil_share = how, 0.2
        await hold(run, 1, 5)
        for server in servers:
            server.spoil = None


@fault()
async def servers_apply_orders_late(run):
    with disturbing(run, "servers"):
        for server in run.servers:
            server.late_share = 0.3
        await hold(run, 1, 5)
        for server in run.servers:
            server.late_share = 0.0
        await asyncio.sleep(6)


@fault()
async def servers_are_slow_or_refuse(run):
    servers = some(run, run.servers, 0.3)
    slow = run.random.random() < 0.5
    with disturbing(run, "servers"):
        for server in servers:
            if slow:
                server.slow = 5.0
            else:
                server.refuse_share = 0.5
        await hold(run, 1, 5)
        for server in servers:
            server.slow, server.refuse_share = 1.0, 0.0


@fault()
async def servers_lose_the_store(run):
    """Their entries lapse while they go on serving."""
    servers = some(run, run.servers, 0.2)
    with disturbing(run, "servers"):
        for server in servers:
            server.cut_from_store = True
        await hold(run, 2, 6)
        for server in servers:
            server.cut_from_store = False
        await asyncio.sleep(1)


@fault(1.5)
async def configuration_changes(run):
    for _ in range(run.random.choice([1, 1, 5])):
        if not run.store.down():
            run.configure()
        await hold(run, 0.1, 0.6)


@fault()
async def domain_is_evacuated(run):
    domain = run.random.choice(["se-mitt-a", "se-mitt-b", "se-mitt-c"])
    if run.store.down() or run.evacuated:
        return
    run.evacuated.add(domain)
    run.store.put("evacuations", domain, {})
    run.journal.note("evacuated", domain=domain)
    await hold(run, 6, 9)
    while run.store.down():
        await asyncio.sleep(0.1)
    run.store.delete("evacuations", domain)
    run.journal.note("returned", domain=domain)
    run.evacuated.discard(domain)


async def play(run, seconds, only=None):
    """Starts series of faults for a time and returns when all have ended."""
    names = [name for name in FAULTS if only is None or name in only]
    weights = [FAULTS[name][1] for name in names]
    end = run.now() + seconds
    open_faults = set()
    while run.now() < end:
        name = run.random.choices(names, weights)[0]
        run.journal.note("fault", name=name)
        for _ in range(run.random.choice([1, 1, 1, 2])):
            task = asyncio.create_task(FAULTS[name][0](run))
            open_faults.add(task)
            await hold(run, 0.0, 1.2)
        await hold(run, 0.2, 2.5)
    await asyncio.gather(*open_faults)
