"""A loopback proxy that delays, resets, blocks and stalls connections."""

import asyncio

import http1


class Proxy:
    """Forwards bytes between its port and a target.

    Faults: `delay` delays each chunk by that many seconds. `block` stops bytes
    in the directions that it names ("up" is towards the target, "down" is from
    it) and new connections, until `unblock` or `heal`. `stall_connections` stops
    the connections that are open at the call permanently, without closing them.
    """

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        self.blocked_directions = frozenset()
        # Whether only connections that carry commands are blocked.
        self.block_commands_only = False
        self._connections = set()
        self._listener = None

    async def listen(self, host, port):
        self._listener = await asyncio.start_server(self._accept, host, port)

    def close(self):
        self._listener.close()
        self.reset_all()

    def reset_all(self):
        for connection in list(self._connections):
            connection.reset()

    def stall_connections(self):
        for connection in self._connections:
            connection.stalled = True

    def block(self, *directions, commands_only=False):
        self.blocked_directions = frozenset(directions)
        self.block_commands_only = commands_only

    def unblock(self):
        """Ends the block and resets all connections; blocked bytes are lost."""
        if self.blocked_directions:
            self.blocked_directions = frozenset()
            self.reset_all()

    def heal(self):
        """Ends the block. Bytes that were held up are delivered, as TCP sends
        them again, unless their sender has reset its connection."""
        self.blocked_directions = frozenset()

    def _is_blocked(self, connection, direction):
        return direction in self.blocked_directions and (
            connection.carries_commands or not self.block_commands_only)

    async def _accept(self, reader, writer):
        connection = ProxiedConnection(writer)
        self._connections.add(connection)
        try:
            while self.blocked_directions and not self.block_commands_only:
                await asyncio.sleep(0.05)
                if connection.ended:
                    return
            target_reader, target_writer = await asyncio.open_connection(
                *self.target)
            connection.writers.append(target_writer)
            await asyncio.gather(
                self._forward(connection, reader, target_writer, "up"),
                self._forward(connection, target_reader, writer, "down"))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(connection)
            connection.reset()

    async def _forward(self, connection, reader, writer, direction):
        while data := await reader.read(65536):
            if direction == "up" and data.startswith(b"POST /-/"):
                connection.carries_commands = True
            if self.delay:
                await asyncio.sleep(self.delay)
            while self._is_blocked(connection, direction) or connection.stalled:
                await asyncio.sleep(0.05)
                if connection.ended or reader.exception():
                    return
            writer.write(data)
            await writer.drain()
        # The end of one direction closes the connection, because callers and
        # routers close both directions at once.
        while self._is_blocked(connection, direction) or connection.stalled:
            await asyncio.sleep(0.05)
            if connection.ended:
                return
        if not writer.is_closing():
            writer.close()


class ProxiedConnection:
    def __init__(self, writer):
        self.writers = [writer]
        self.carries_commands = False
        self.stalled = False
        self.ended = False

    def reset(self):
        self.ended = True
        for writer in self.writers:
            http1.reset(writer)
