"""Sends requests and records the responses."""

from collections.abc import Callable
import itertools
import random

from hollycart_bench.soak import _engine
from hollycart_bench.soak import _record
from hollycart_core import base
from hollycart_core import connections
import hollycart_standins

_CONNECT_TIMEOUT_MS = 1000.0
_SEND_TIMEOUT_MS = 2000.0
# Time for which a caller keeps the connection open after its timeout, so that a
# late response is recorded.
_LATE_RESPONSE_WINDOW_MS = 1500.0
# Each request draws one of these entries, so half of them are streams.
_REQUEST_KINDS = (
    "stream",
    "stream",
    "again",
    "once",
)
_ABANDON_SHARE = 0.05  # share of requests that their callers abandon
# Share of requests sent with a revoked key, once a key has been revoked.
_REVOKED_KEY_SHARE = 0.15
_COMMON_SEGMENT = "5e"  # of all prompts
# Share of the streams whose prompts crash engines, while there are such.
_CRASHING_SHARE = 0.2
# Share of the requests that are the one that crashes engines.
_REPEATED_SHARE = 0.1
_CALLER_TIMEOUT_MS = {"stream": 10000.0, "again": 3000.0, "once": 3000.0}
# Prompt lengths in tokens, and their shares. The longest prompt needs the
# memory of several engines. Prefill takes a third of the time of six engines
# at 25 requests a second.
_PROMPT_TOKENS = (1500, 3000, 5000, 8000, 45000, 120000, 260000, 600000)
_PROMPT_SHARES = (0.25, 0.25, 0.215, 0.2, 0.05, 0.02, 0.01, 0.005)


class Caller:
    """Draws requests, sends them and records their outcomes.

    Args:
        keys: API key by team.
        choose: Returns name and address of an instance that is ready.
        record: Record that the calls are added to.
        clock: Source of time.
        rng: Random generator for the draws.
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
        self._request_numbers = itertools.count()
        self._run_id = f"{rng.getrandbits(32):08x}"

    def send(self) -> None:
        """Sends one request and waits for its end."""
        rng = self.rng
        kind = rng.choice(_REQUEST_KINDS)
        team = self._choose_team()
        repeated = self._draw_crashing_request()
        if repeated is not None:
            kind, team = repeated.kind, repeated.team
        instance, address = self.choose()
        request_id = f"{self._run_id}{next(self._request_numbers):08x}"
        tokens = 0
        if repeated is not None and kind == "stream":
            tokens = _PROMPT_TOKENS[0]
        elif kind == "stream":
            (tokens,) = rng.choices(_PROMPT_TOKENS, _PROMPT_SHARES)
        crash_segment = self._draw_crash_segment(kind)
        segments = (_COMMON_SEGMENT, team)
        caller_timeout_ms = _CALLER_TIMEOUT_MS[kind]
        head = hollycart_standins.encode_request(
            request_id,
            f"/{kind}/{repeated.body if repeated else request_id}",
            self.keys[team],
            caller_timeout_ms,
            tokens,
            1000 if tokens else 0,
            segments=(*segments, crash_segment) if crash_segment else segments,
        )
        abandons = rng.random() < _ABANDON_SHARE
        abandon_after_ms = (
            rng.uniform(20.0, 400.0) if abandons else caller_timeout_ms
        )
        start_ms = self.clock.wall_ms()
        attempt = _Attempt(self.clock, request_id, address)
        if repeated is not None:
            attempt.body = repeated.body.encode()
        attempt.run(
            head,
            abandon_after_ms
            if abandons
            else caller_timeout_ms + _LATE_RESPONSE_WINDOW_MS,
        )
        abandoned = abandons and not attempt.ended
        self.record.calls.append(
            _record.Call(
                request_id,
                kind,
                instance,
                team,
                start_ms,
                self.clock.wall_ms(),
                caller_timeout_ms,
                attempt.status,
                attempt.complete,
                attempt.body_matches,
                abandoned,
                attempt.retry_after_ms,
                attempt.first_byte_ms,
                bool(crash_segment) or repeated is not None,
            )
        )

    def send_plain(self) -> None:
        """Sends an idempotent request without a prompt; waits for its end."""
        team = self._choose_team()
        instance, address = self.choose()
        request_id = f"{self._run_id}{next(self._request_numbers):08x}"
        caller_timeout_ms = _CALLER_TIMEOUT_MS["again"]
        head = hollycart_standins.encode_request(
            request_id,
            f"/again/{request_id}",
            self.keys[team],
            caller_timeout_ms,
        )
        start_ms = self.clock.wall_ms()
        attempt = _Attempt(self.clock, request_id, address)
        attempt.run(head, caller_timeout_ms + _LATE_RESPONSE_WINDOW_MS)
        self.record.calls.append(
            _record.Call(
                request_id,
                "again",
                instance,
                team,
                start_ms,
                self.clock.wall_ms(),
                caller_timeout_ms,
                attempt.status,
                attempt.complete,
                attempt.body_matches,
                False,
                attempt.retry_after_ms,
                attempt.first_byte_ms,
            )
        )

    def send_direct(self, address: str) -> None:
        """Sends a request without a prompt directly to an engine."""
        request_id = f"{self._run_id}{next(self._request_numbers):08x}"
        caller_timeout_ms = _CALLER_TIMEOUT_MS["again"]
        head = hollycart_standins.encode_request(
            request_id, f"/again/{request_id}", "", caller_timeout_ms
        )
        attempt = _Attempt(self.clock, request_id, address)
        attempt.run(head, caller_timeout_ms)
        if attempt.complete and attempt.first_byte_ms is not None:
            self.record.direct_ms.append(attempt.first_byte_ms)

    def _draw_crash_segment(self, kind: str) -> str:
        """Returns the segment that crashes engines for some of the streams."""
        if kind != "stream" or self.rng.random() >= _CRASHING_SHARE:
            return ""
        return self.record.crash_segment

    def _draw_crashing_request(self) -> _record.CrashingRequest | None:
        """Returns the request that crashes engines, some of the times."""
        if self.rng.random() >= _REPEATED_SHARE:
            return None
        return self.record.crashing_request

    def _choose_team(self) -> str:
        """Returns a team; sometimes the one whose key was revoked last."""
        revoked = [t for t, _ in self.record.revoked_teams]
        if revoked and self.rng.random() < _REVOKED_KEY_SHARE:
            return revoked[-1]
        return self.rng.choice(sorted(set(self.keys) - set(revoked)))


class _Attempt:
    def __init__(
        self, clock: base.Clock, request_id: str, address: str
    ) -> None:
        self.clock = clock
        self.request_id = request_id
        self.body = b"prompt " + request_id.encode()
        self.conn = connections.ClientConnection(address, clock)
        self.status = 0
        self.complete = False
        self.body_matches = True
        self.ended = False
        self.retry_after_ms: float | None = None
        self.first_byte_ms: float | None = None
        self._start_ms = clock.now_ms()

    def run(self, head: connections.RequestHead, timeout_ms: float) -> None:
        end_ms = self.clock.now_ms() + timeout_ms
        try:
            self.conn.start(_CONNECT_TIMEOUT_MS)
            self.conn.send(head, self.body, _SEND_TIMEOUT_MS)
            response_head = self.conn.read_head(
                max(1.0, end_ms - self.clock.now_ms())
            )
            self.status = response_head.status
            retry_after = connections.find_header(
                response_head.headers, b"retry-after"
            )
            if retry_after:
                self.retry_after_ms = float(retry_after) * 1000.0
            body = self._read_body(end_ms)
            self.complete = self.ended = True
            if 200 <= self.status < 300:
                self.body_matches = body == self._expected_body(head)
        except base.SilentEndpointError:
            pass  # the caller closes the connection
        except base.HollycartError:
            self.ended = True  # the connection failed
        finally:
            self.conn.close()

    def _read_body(self, end_ms: float) -> bytes:
        parts: list[bytes] = []
        while True:
            remaining_ms = max(1.0, end_ms - self.clock.now_ms())
            data = self.conn.read_data(remaining_ms)
            if data is None:
                return b"".join(parts)
            if self.first_byte_ms is None:
                self.first_byte_ms = self.clock.now_ms() - self._start_ms
            parts.append(data)

    def _expected_body(self, head: connections.RequestHead) -> bytes:
        if not head.target.startswith(b"/stream/"):
            return _engine.response_body(self.request_id)
        engine_codec = hollycart_standins.EngineCodec()
        last_number = _engine.event_count(self.request_id)
        return b"".join(
            engine_codec.encode_event(n, _engine.event_data(self.request_id, n))
            for n in range(1, last_number + 1)
        )
