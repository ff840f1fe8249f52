"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import NamedTuple

_MAX_HEAD_BYTES = 262144


class Request(NamedTuple):
    """A request; the names of header fields are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]


class Response(NamedTuple):
    """A response; the names of header fields are in lower case.

    Attributes:
        status: HTTP status; 0 if the channel ended before a response.
        headers: Header fields.
        body: What was received of the body.
        complete: Whether the declared end of the body was received.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Channel:
    """A server's side of a channel that has received a request."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def respond(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends a whole response."""
        fields = {**headers, "Content-Length": str(len(body))}
        self.writer.write(_encode_head(f"HTTP/1.1 {status} -", fields) + body)
        await self.writer.drain()

    async def start_chunked(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head of a chunked response."""
        fields = {**headers, "Transfer-Encoding": "chunked"}
        self.writer.write(_encode_head(f"HTTP/1.1 {status} -", fields))
        await self.writer.drain()

    async def write_chunk(self, data: bytes) -> None:
        """Sends a chunk; an empty one ends the response."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    async def wait_closed(self) -> None:
        """Returns when the other side has closed the channel."""
        with contextlib.suppress(OSError):
            while await self.reader.read(65536):
                pass


Handler = Callable[[Request, Channel], Awaitable[None]]


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Starts a server that keeps channels open."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    request = await read_request(reader)
                    if request is None:
                        break
                    await handler(request, Channel(reader, writer))
        finally:
            writer.close()

    return await asyncio.start_server(
        run, host, port, limit=_MAX_HEAD_BYTES, backlog=1024
    )


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Returns the next request; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, headers = _decode_head(head)
    method, target, _ = first.split(" ", 2)
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


class Client:
    """A channel to a server, for one request at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, timeout_s: float = 1.0) -> None:
        """Opens the channel.

        Raises:
            OSError: If that fails; TimeoutError if it takes too long.
        """
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=_MAX_HEAD_BYTES),
            timeout_s,
        )

    def close(self) -> None:
        """Closes the channel."""
        if self.writer is not None:
            self.writer.close()

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a request."""
        assert self.writer is not None
        fields = dict(headers)
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        self.writer.write(
            _encode_head(f"{method} {target} HTTP/1.1", fields) + body
        )
        await self.writer.drain()

    async def receive(self) -> Response:
        """Returns the response, also an incomplete one."""
        assert self.reader is not None
        status, headers, body = 0, {}, b""
        try:
            first, headers = _decode_head(
                await self.reader.readuntil(b"\r\n\r\n")
            )
            status = int(first.split(" ")[1])
            if headers.get("transfer-encoding") == "chunked":
                while size := int(await self.reader.readline(), 16):
                    body += await self.reader.readexactly(size)
                    await self.reader.readline()
                await self.reader.readline()
            elif "content-length" in headers:
                body = await self.reader.readexactly(
                    int(headers["content-length"])
                )
            else:
                body = await self.reader.read()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return Response(status, headers, body, False)
        return Response(status, headers, body, True)


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Response:
    """Sends a request on a new channel; status 0 stands for no response."""
    client = Client(address)
    try:
        await client.open()
        await client.send(method, target, headers, body)
        return await asyncio.wait_for(client.receive(), timeout_s)
    except (OSError, TimeoutError):
        return Response(0, {}, b"", False)
    finally:
        client.close()


def _encode_head(first: str, fields: dict[str, str]) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def _decode_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): v.strip() for name, _, v in pairs}
