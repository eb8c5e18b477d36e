"""Clients that make a process hold memory or descriptors.

Each function opens a fixed number of connections to one address and returns
them; they stay open until `close_all`. Errors are expected: the process may
refuse such a client or close its connection.
"""

import asyncio
import socket

HOST = "maps.example"
# The receive buffer of a client that does not read, so that little of a
# response waits in the kernel.
SMALL_BUFFER_BYTES = 16_384
SEND_TIMEOUT_S = 8.0


def head(method, target, request_id, length_field):
    lines = [f"{method} {target}/{request_id} HTTP/1.1", f"Host: {HOST}",
             f"X-Filberthub-Request-Id: {request_id}",
             "X-Filberthub-Deadline-Ms: 10000"]
    lines += [length_field] if length_field else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def connect(address, receive_bytes=None):
    connection = socket.socket()
    connection.setblocking(False)
    if receive_bytes:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    try:
        async with asyncio.timeout(2.0):
            await asyncio.get_running_loop().sock_connect(connection, address)
    except (OSError, TimeoutError):
        pass
    return connection


async def send(connection, *parts):
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            for part in parts:
                await asyncio.get_running_loop().sock_sendall(connection, part)
    except (OSError, TimeoutError):
        pass


async def open_and_send(address, count, make_parts, receive_bytes=None):
    connections = [await connect(address, receive_bytes)
                   for _ in range(count)]
    await asyncio.gather(*[send(connection, *make_parts(number))
                           for number, connection in enumerate(connections)])
    return connections


async def whole_bodies(address, count, size):
    body = b"x" * size
    return await open_and_send(address, count, lambda number: (
        head("POST", "/scan-upload", f"whole-{number}",
             f"Content-Length: {size}"), body))


async def short_bodies(address, count, size):
    """All but the last byte of each body is sent."""
    body = b"x" * (size - 1)
    return await open_and_send(address, count, lambda number: (
        head("POST", "/scan-upload", f"short-{number}",
             f"Content-Length: {size}"), body))


async def bodies_in_pieces(address, count, size, piece_size):
    """Chunked bodies without their last chunk."""
    piece = b"%x\r\n" % piece_size + b"x" * piece_size + b"\r\n"
    return await open_and_send(address, count, lambda number: (
        head("POST", "/scan-upload", f"pieces-{number}",
             "Transfer-Encoding: chunked"),
        *[piece] * (size // piece_size - 1)))


async def unread_responses(address, count, requests, response_bytes):
    """Pipelined requests whose responses are not read."""
    return await open_and_send(address, count, lambda number: [
        head("GET", f"/rescue-read/respond-{response_bytes}",
             f"unread-{number}-{n}", "") for n in range(requests)],
        SMALL_BUFFER_BYTES)


async def slow_readers(address, count, response_bytes):
    """One request each; `read_slowly` reads the responses."""
    return await open_and_send(address, count, lambda number: (
        head("GET", f"/rescue-read/respond-{response_bytes}",
             f"slow-{number}", ""),), SMALL_BUFFER_BYTES)


async def read_slowly(connections, seconds):
    """Reads 1 KiB of each connection every 0.1 s."""
    for _ in range(int(seconds * 10)):
        for connection in connections:
            try:
                connection.recv(1024)
            except OSError:
                pass
        await asyncio.sleep(0.1)


async def silent_connections(address, count):
    return [await connect(address) for _ in range(count)]


def close_all(connections):
    for connection in connections:
        connection.close()
