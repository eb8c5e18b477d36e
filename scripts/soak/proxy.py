"""A loopback proxy that delays, resets, cuts and silences connections."""

import asyncio

import http1


class Proxy:
    """Passes bytes between its port and a target.

    Faults: `delay` holds each piece up, `cut` lets no bytes pass in the
    directions that it names ("up" towards the target, "down" back) and no
    connection be made, and `silence` makes the connections that are open then
    dead for good."""

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        self.cut = frozenset()
        self._links = set()
        self._listener = None

    async def listen(self, host, port):
        self._listener = await asyncio.start_server(self._accept, host, port)

    def close(self):
        self._listener.close()
        self.reset_all()

    def reset_all(self):
        for link in list(self._links):
            link.reset()

    def silence(self):
        for link in self._links:
            link.silent = True

    def begin_cut(self, *directions):
        self.cut = frozenset(directions)

    def heal(self):
        """Ends the cut. What it held up is lost with its connections."""
        if self.cut:
            self.cut = frozenset()
            self.reset_all()

    async def _accept(self, reader, writer):
        link = Link(writer)
        self._links.add(link)
        try:
            if self.cut:
                await asyncio.sleep(3600)
            there_reader, there_writer = await asyncio.open_connection(
                *self.target)
            link.writers.append(there_writer)
            await asyncio.gather(
                self._pump(link, reader, there_writer, "up"),
                self._pump(link, there_reader, writer, "down"))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._links.discard(link)
            link.reset()

    async def _pump(self, link, reader, writer, direction):
        while data := await reader.read(65536):
            if self.delay:
                await asyncio.sleep(self.delay)
            while direction in self.cut or link.silent:
                await asyncio.sleep(0.05)
                if link.ended:
                    return
            writer.write(data)
            await writer.drain()
        # The end of one direction ends the connection, as callers and routers
        # close both at once.
        if direction in self.cut or link.silent:
            await asyncio.sleep(3600)
        if not writer.is_closing():
            writer.close()


class Link:
    def __init__(self, writer):
        self.writers = [writer]
        self.silent = False
        self.ended = False

    def reset(self):
        self.ended = True
        for writer in self.writers:
            http1.reset(writer)
