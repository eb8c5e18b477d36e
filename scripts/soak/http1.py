"""HTTP/1.1 messages over asyncio streams: the subset that the soak needs."""

import asyncio
import json

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Message:
    """A request or a response. Header names are in lower case."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def target(self):
        return self.start_line.split(" ")[1]

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    def json(self):
        return json.loads(self.body)


async def read_message(reader):
    """Returns the next message, or None at the end of the connection.

    Raises `asyncio.IncompleteReadError` for a truncated message and
    `ValueError` for a malformed one.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    start_line, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start_line, headers, body)


def encode_request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_answer(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_json(status, document):
    return encode_answer(status, {"Content-Type": "application/json"},
                         json.dumps(document).encode())


def reset(writer):
    """Closes a connection with a TCP reset."""
    writer.transport.abort()
