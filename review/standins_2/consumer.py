"""Stand-in for a consumer: sends one request on a channel of its own."""

import socket
from typing import NamedTuple

_READ_BYTES = 65536
_HOST = "review.example"
KEY = "n2ctnfzs989anu6wsjnb"


class Answer(NamedTuple):
    """What a consumer got.

    Attributes:
        status: Status of the answer; 0 if there was none.
        fields: Header fields, with names in lower case.
        body: The body as far as it came.
        complete: Whether the declared end of the body has come.
        fault: What was wrong with the bytes; empty if nothing was.
    """

    status: int
    fields: dict[str, str]
    body: bytes
    complete: bool
    fault: str


class Consumer:
    """One request and its answer.

    Args:
        address: Front address of a gateway.
        request_id: Id of the consumer attempt.
        path: Path of the request.
        deadline_ms: Time for which the consumer waits, in ms.
        prompt_tokens: Tokens of the prompt; 0 for a plain request.
        output_tokens: Largest number of output tokens.
        method: HTTP method.
        receive_bytes: Size of the receive buffer; 0 for that of the system.
        segment_bytes: Largest segment that is received; 0 for that of the
            system.
        part: Id of a part of the prompt, beside the first and the last one.
    """

    def __init__(
        self,
        address: str,
        request_id: str,
        path: str,
        deadline_ms: int,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        method: str = "POST",
        receive_bytes: int = 0,
        segment_bytes: int = 0,
        part: str = "",
    ) -> None:
        self.request_id = request_id
        self.raw = b""
        self._ended = False
        host, _, port = address.rpartition(":")
        self._sock = socket.socket()
        if receive_bytes:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        if segment_bytes:
            self._sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes
            )
        self._sock.settimeout(1.0)
        self._sock.connect((host, int(port)))
        data = b"" if method == "GET" else b"prompt " + request_id.encode()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {_HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"X-Api-Key: {KEY}",
        ]
        if prompt_tokens:
            lines += [
                "X-Model: m",
                f"X-Token-Usage: {prompt_tokens},{output_tokens}",
                f"X-Prompt-Prefix: 5c1e07a2:40,{part and part + ':40,'}"
                f"{request_id}:{prompt_tokens - (80 if part else 40)}",
            ]
        if data:
            lines.append(f"Content-Length: {len(data)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        self._sock.sendall(head + data)

    def read(self, timeout_s: float) -> bool:
        """Reads once; returns whether the channel is still open."""
        self._sock.settimeout(max(0.001, timeout_s))
        try:
            data = self._sock.recv(_READ_BYTES)
        except TimeoutError:
            return True
        except OSError:
            data = b""
        self.raw += data
        self._ended = not data
        return bool(data)

    def close(self) -> None:
        """Closes the channel."""
        self._sock.close()

    def answer(self) -> Answer:
        """Returns the answer as far as it has come."""
        head, found, rest = self.raw.partition(b"\r\n\r\n")
        if not found:
            return Answer(0, {}, b"", False, "")
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        if fields.get("transfer-encoding", "").lower() == "chunked":
            return Answer(status, fields, *_join_chunks(rest))
        length = int(fields.get("content-length", "-1"))
        complete = len(rest) == length if length >= 0 else self._ended
        return Answer(status, fields, rest, complete, "")


def _join_chunks(data: bytes) -> tuple[bytes, bool, str]:
    """Returns the content of chunks, whether they ended, and a fault."""
    body = b""
    while True:
        line, found, data = data.partition(b"\r\n")
        if not found:
            return body, False, ""
        try:
            size = int(line.partition(b";")[0], 16)
        except ValueError:
            return body, False, f"{line[:60]!r} is not the size of a chunk"
        if size == 0:
            return body, True, ""
        body += data[:size]
        if len(data) < size + 2:
            return body, False, ""
        if data[size : size + 2] != b"\r\n":
            end = data[size : size + 20]
            return body, False, f"a chunk ends with {end!r}"
        data = data[size + 2 :]
