"""Sends requests and keeps what comes back."""

from collections.abc import Callable
import itertools
import random

from hollycart_bench.soak import _engine
from hollycart_bench.soak import _record
from hollycart_core import base
from hollycart_core import connections
import hollycart_standins

_CONNECT_MS = 1000.0
_SEND_MS = 2000.0
# Time after the end of its waiting for which a caller looks whether an answer
# comes all the same, in ms.
_OVERTIME_MS = 1500.0
# Shares of requests by kind and of callers that leave early.
_KINDS = ("stream", "stream", "again", "once")
_LEAVE_SHARE = 0.05
_REVOKED_SHARE = 0.15  # of the requests, once a key was taken away
_WAIT_MS = {"stream": 10000.0, "again": 3000.0, "once": 3000.0}
# Prompt lengths and their shares; the longest needs the memory of several
# engines. Reading takes a third of the time of six engines at 25 requests a
# second.
_TOKENS = (1500, 3000, 5000, 8000, 45000, 120000, 260000, 600000)
_SHARES = (0.25, 0.25, 0.215, 0.2, 0.05, 0.02, 0.01, 0.005)


class Caller:
    """Draws requests, sends them and records how they ended.

    Args:
        keys: API key by team.
        choose: Returns name and address of an instance that takes callers.
        record: Receives the calls.
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        keys: dict[str, str],
        choose: Callable[[], tuple[str, str]],
        record: _record.SoakRecord,
        clock: base.Clock,
        rng: random.Random,
    ) -> None:
        self.keys = keys
        self.choose = choose
        self.record = record
        self.clock = clock
        self.rng = rng
        self._numbers = itertools.count()
        self._run = f"{rng.getrandbits(32):08x}"

    def send(self) -> None:
        """Sends one request and waits for its end."""
        rng = self.rng
        kind = rng.choice(_KINDS)
        team = self._choose_team()
        instance, address = self.choose()
        request_id = f"{self._run}{next(self._numbers):08x}"
        tokens = 0
        if kind == "stream":
            (tokens,) = rng.choices(_TOKENS, _SHARES)
        wait_ms = _WAIT_MS[kind]
        head = hollycart_standins.encode_request(
            request_id,
            f"/{kind}/{request_id}",
            self.keys[team],
            wait_ms,
            tokens,
            1000 if tokens else 0,
        )
        leave = rng.random() < _LEAVE_SHARE
        patience_ms = rng.uniform(20.0, 400.0) if leave else wait_ms
        began_ms = self.clock.wall_ms()
        attempt = _Attempt(self.clock, request_id, address)
        attempt.run(head, patience_ms if leave else wait_ms + _OVERTIME_MS)
        left = leave and not attempt.ended
        self.record.calls.append(
            _record.Call(
                request_id,
                kind,
                instance,
                team,
                began_ms,
                self.clock.wall_ms(),
                wait_ms,
                attempt.status,
                attempt.complete,
                attempt.own,
                left,
                attempt.retry_after_ms,
                attempt.first_ms,
            )
        )

    def send_direct(self, address: str) -> None:
        """Sends a request without a prompt straight to an engine."""
        request_id = f"{self._run}{next(self._numbers):08x}"
        wait_ms = _WAIT_MS["again"]
        head = hollycart_standins.encode_request(
            request_id, f"/again/{request_id}", "", wait_ms
        )
        attempt = _Attempt(self.clock, request_id, address)
        attempt.run(head, wait_ms)
        if attempt.complete and attempt.first_ms is not None:
            self.record.direct_ms.append(attempt.first_ms)

    def _choose_team(self) -> str:
        """Returns a team; now and then the last whose key was taken away."""
        revoked = [t for t, _ in self.record.revoked]
        if revoked and self.rng.random() < _REVOKED_SHARE:
            return revoked[-1]
        return self.rng.choice(sorted(set(self.keys) - set(revoked)))


class _Attempt:
    def __init__(
        self, clock: base.Clock, request_id: str, address: str
    ) -> None:
        self.clock = clock
        self.request_id = request_id
        self.conn = connections.ClientConnection(address, clock)
        self.status = 0
        self.complete = False
        self.own = True
        self.ended = False
        self.retry_after_ms: float | None = None
        self.first_ms: float | None = None
        self._began_ms = clock.now_ms()

    def run(self, head: connections.RequestHead, limit_ms: float) -> None:
        end_ms = self.clock.now_ms() + limit_ms
        try:
            self.conn.start(_CONNECT_MS)
            self.conn.send(head, b"prompt", _SEND_MS)
            answer = self.conn.read_head(max(1.0, end_ms - self.clock.now_ms()))
            self.status = answer.status
            retry_after = connections.find_header(
                answer.headers, b"retry-after"
            )
            if retry_after:
                self.retry_after_ms = float(retry_after) * 1000.0
            body = self._read_body(end_ms)
            self.complete = self.ended = True
            if 200 <= self.status < 300:
                self.own = body == self._expected(head)
        except base.SilentEndpointError:
            pass  # the caller leaves
        except base.HollycartError:
            self.ended = True  # the connection ended without an answer
        finally:
            self.conn.close()

    def _read_body(self, end_ms: float) -> bytes:
        parts: list[bytes] = []
        while True:
            left_ms = max(1.0, end_ms - self.clock.now_ms())
            data = self.conn.read_data(left_ms)
            if data is None:
                return b"".join(parts)
            if self.first_ms is None:
                self.first_ms = self.clock.now_ms() - self._began_ms
            parts.append(data)

    def _expected(self, head: connections.RequestHead) -> bytes:
        if not head.target.startswith(b"/stream/"):
            return _engine.answer_body(self.request_id)
        engine_codec = hollycart_standins.EngineCodec()
        last = _engine.event_count(self.request_id)
        return b"".join(
            engine_codec.encode_event(n, _engine.event_data(self.request_id, n))
            for n in range(1, last + 1)
        )
