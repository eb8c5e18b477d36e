"""A server whose machine loses power and returns.

While it is off, open connections are silent and new ones are not established, as
with a machine that is gone. When it is back, what still uses an old connection is
reset, and the server starts again.
"""

import asyncio
import socket


async def power_off(run, server):
    proxy = run.proxies[server]
    proxy.stall_connections()
    proxy._listener.close()
    # A queue that is full drops the opening packets of further connections.
    host, port = server.address.split(":")
    silent = socket.socket()
    silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    silent.bind((host, int(port)))
    silent.listen(0)
    fillers = []
    for _ in range(3):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((host, int(port)))
        fillers.append(filler)
    await server.crash()
    return silent, fillers


async def power_on(run, server, dark, first_entry_after_s):
    """Starts the server under its id, as a new incarnation. It writes its entry
    for the first time after `first_entry_after_s`."""
    silent, fillers = dark
    for filler in fillers:
        filler.close()
    silent.close()
    proxy = run.proxies[server]
    proxy.reset_all()
    server.cut_from_store = True
    await server.start(same_id=True)
    host, port = server.address.split(":")
    await proxy.listen(host, int(port))

    async def write_first_entry():
        await asyncio.sleep(first_entry_after_s)
        server.cut_from_store = False
        server._publish_entry()

    return asyncio.create_task(write_first_entry())
