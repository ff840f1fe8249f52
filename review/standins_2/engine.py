"""Stand-in for an engine, a process of its own.

It writes what arrives, runs and ends to a journal: a line each with the time in
s, its id, the event and the id of the request, or the ticket of an order.
"""

import argparse
import json
import os
import random
import socket
import threading
import time

_IDLE_TIMEOUT_S = 20.0
_MEMORY_TOKENS = 450000
_CRASH_AFTER_S = 0.06  # the start of the answer
_MIN_LATE_S = 2.0
_MAX_LATE_S = 12.0


def event(request_id: str, number: int, size: int) -> bytes:
    """Returns one event of a stream; the text tells where it belongs."""
    text = f"{request_id}/{number}/"
    return f"id: {number}\ndata: {text.ljust(size, 'x')}\n\n".encode()


def body(request_id: str, size: int = 800) -> bytes:
    """Returns the body of a plain answer."""
    return f"{request_id}/".ljust(size, "x").encode()


def _tickets(helpers: str) -> set[str]:
    """Returns the tickets that a list of helpers names."""
    entries = [entry.partition("/") for entry in helpers.split(",")]
    return {ticket for _, _, ticket in entries if ticket}


class Engine:
    """Serves requests, one at a time on each channel.

    Args:
        args: Arguments of the command line.
    """

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.running = 0
        self.born_ms = int(time.time() * 1000)
        self._journal = open(args.journal, "a", buffering=1)  # noqa: SIM115
        self._lock = threading.Lock()
        self._rng = random.Random(args.id)
        self._tickets: dict[str, tuple[int, float]] = {}

    def run(self) -> None:
        """Accepts channels until the process is killed."""
        host, _, port = self.args.address.rpartition(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(512)
        self.note("start", "-")
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def note(self, what: str, request_id: str) -> None:
        """Writes a line to the journal."""
        self._journal.write(
            f"{time.time():.4f} {self.args.id} {what} {request_id}\n"
        )

    def _serve(self, sock: socket.socket) -> None:
        sock.settimeout(_IDLE_TIMEOUT_S)
        stream = sock.makefile("rb")
        try:
            while self._serve_one(sock, stream):
                pass
        except OSError:
            pass
        finally:
            sock.close()

    def _serve_one(self, sock: socket.socket, stream) -> bool:
        line = stream.readline()
        if not line:
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        fields: dict[str, str] = {}
        while (line := stream.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            fields[name.strip().lower()] = value.strip()
        data = stream.read(int(fields.get("content-length", "0")))
        if target == "/v1/report":
            self._respond_json(sock, 200, self._report())
        elif target == "/v1/order":
            return self._handle_order(sock, json.loads(data))
        elif target == self.args.health_path:
            extra = f"X-Instance-Id: {self.args.id}\r\n"
            self._respond(sock, 200, extra, b"")
        elif fields.get("x-expect-instance", self.args.id) != self.args.id:
            self.note("misdirected", fields.get("x-request-id", "-"))
            extra = f"X-Instance-Id: {self.args.id}\r\n"
            self._respond(sock, 421, extra, b"")
        else:
            return self._run(sock, method, target, fields, data)
        return True

    def _handle_order(self, sock: socket.socket, order: dict) -> bool:
        """Carries out an order, or leaves it unanswered and does so late."""
        is_late = self.args.late_file and os.path.exists(self.args.late_file)
        if is_late and self._rng.random() < self.args.late_share:
            late_s = self._rng.uniform(_MIN_LATE_S, _MAX_LATE_S)
            self.note(f"unanswered-{order['operation']}", order["id"])
            timer = threading.Timer(late_s, self._carry_out, (order, "late-"))
            timer.daemon = True
            timer.start()
            time.sleep(late_s + 1.0)  # the caller gives up before
            return False
        status = self._carry_out(order, "")
        self._respond_json(sock, status, {"free": self._free()})
        return True

    def _carry_out(self, order: dict, prefix: str) -> int:
        ticket = order["id"]
        with self._lock:
            if order["operation"] == "release":
                self._tickets.pop(ticket, None)
                self.note(f"{prefix}release", ticket)
                return 200
            self._tickets.pop(ticket, None)
            if order["tokens"] > self._free_unlocked():
                self.note(f"{prefix}refused", ticket)
                return 409
            hold_s = order["hold-ms"] / 1000.0
            end_s = time.time() + hold_s
            self._tickets[ticket] = (order["tokens"], end_s)
            self.note(f"{prefix}reserve-{end_s:.4f}", ticket)
            return 200

    def _free(self) -> int:
        with self._lock:
            return self._free_unlocked()

    def _free_unlocked(self) -> int:
        now_s = time.time()
        self._tickets = {
            t: (tokens, end_s)
            for t, (tokens, end_s) in self._tickets.items()
            if end_s > now_s
        }
        return _MEMORY_TOKENS - sum(n for n, _ in self._tickets.values())

    def _report(self) -> dict:
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "in-flight": self.running,
            "kv-used": 0,
            "kv-total": 450000,
            "handles": 0,
            "born": self.born_ms,
        }

    def _run(
        self,
        sock: socket.socket,
        method: str,
        target: str,
        fields: dict[str, str],
        data: bytes,
    ) -> bool:
        request_id = fields["x-request-id"]
        self.note("run", request_id)
        parts = fields.get("x-prompt-prefix", "").split(",")
        if self.args.crash_part in [p.partition(":")[0] for p in parts]:
            time.sleep(_CRASH_AFTER_S)
            self.note("crash", request_id)
            os._exit(139)
        self.running += 1
        common = (
            f"X-Request-Id: {request_id}\r\n"
            f"X-Server-Seal: seal.{request_id}\r\n"
        )
        try:
            if "x-token-usage" not in fields:
                time.sleep(self.args.work_ms / 1000.0)
                self._respond(sock, 200, common, body(request_id))
                self.note("end", request_id)
                return True
            self._stream(sock, request_id, common, fields)
            self.note("end", request_id)
            return not self.args.unframed
        except OSError:
            self.note("gone", request_id)
            raise
        finally:
            self.running -= 1
            for ticket in _tickets(fields.get("x-helpers", "")):
                self.note("used-until-now", ticket)

    def _stream(
        self,
        sock: socket.socket,
        request_id: str,
        common: str,
        fields: dict[str, str],
    ) -> None:
        after = int(fields.get("last-event-id") or 0)
        kind = "Content-Type: text/event-stream\r\n"
        coding = "" if self.args.unframed else "Transfer-Encoding: chunked\r\n"
        sock.sendall(f"HTTP/1.1 200 OK\r\n{kind}{coding}{common}\r\n".encode())
        for number in range(after + 1, self.args.events + 1):
            time.sleep(self.args.gap_ms / 1000.0)
            piece = event(request_id, number, self.args.event_bytes)
            if self.args.unframed:
                sock.sendall(piece)
            else:
                sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
            self.note(f"event-{number}", request_id)
        if not self.args.unframed:
            sock.sendall(b"0\r\n\r\n")

    def _respond(
        self, sock: socket.socket, status: int, extra: str, data: bytes
    ) -> None:
        head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(data)}\r\n"
        sock.sendall(f"{head}{extra}\r\n".encode() + data)

    def _respond_json(
        self, sock: socket.socket, status: int, content: dict
    ) -> None:
        data = json.dumps(content).encode()
        self._respond(sock, status, "Content-Type: application/json\r\n", data)


def main() -> None:
    """Runs one engine until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--journal", required=True)
    parser.add_argument("--health-path", default="/health")
    parser.add_argument("--work-ms", type=float, default=60.0)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--event-bytes", type=int, default=65)
    parser.add_argument("--gap-ms", type=float, default=150.0)
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--crash-part", default="none")
    parser.add_argument("--late-share", type=float, default=0.0)
    parser.add_argument("--late-file", default="")
    Engine(parser.parse_args()).run()


if __name__ == "__main__":
    main()
