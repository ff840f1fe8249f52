"""Stand-in for a plain service with non-idempotent calls."""

from collections.abc import Iterable
import os
import random
from typing import Any

import msgspec

from hollycart_core import base
from hollycart_core import http

_MAX_BODY_BYTES = 1 << 20


class ServiceFaults(msgspec.Struct):
    """Faults that the service injects.

    Attributes:
        delay_ms: Time from the request to its effect, in ms.
        lose_answers: Share of calls whose connection breaks after the effect,
            before the response.
        fail_before: Share of calls whose connection breaks before the effect.
        seed: Seed of the draws.
    """

    delay_ms: float = 5.0
    lose_answers: float = 0.0
    fail_before: float = 0.0
    seed: int = 0


class ServiceApp:
    """Records the effect of each service call as the ground truth of a test.

    Args:
        clock: Source of time.
        journal: File that keeps the effects across restarts; empty for none.

    Attributes:
        effects: Wall-clock time in ms, idempotency key and attempt of each
            effect.
        lost: Number of effects whose response was lost.
        receipt_padding: Text appended to each receipt, to lengthen the
            response.
    """

    def __init__(self, clock: base.Clock, journal: str = "") -> None:
        self.clock = clock
        self.journal = journal
        self.faults = ServiceFaults()
        self.rng = random.Random(0)
        self.effects: list[tuple[float, str, str]] = []
        self.lost = 0
        self.receipt_padding = ""
        self.read_journal()

    def read_journal(self) -> None:
        """Reads the effects that an earlier process recorded in the journal."""
        if not self.journal or not os.path.exists(self.journal):
            return
        with open(self.journal, encoding="utf-8") as file:
            for line in file:
                at_ms, key, attempt = line.rstrip("\n").split("\t")
                self.effects.append((float(at_ms), key, attempt))

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handles one request."""
        path = environ["PATH_INFO"]
        body = http.read_body(environ, _MAX_BODY_BYTES)
        if path == "/control/faults":
            self.faults = msgspec.json.decode(body, type=ServiceFaults)
            self.rng = random.Random(self.faults.seed)
            return http.json_response(start_response, 200, {})
        if path == "/control/truth":
            value = {"effects": self.effects, "lost": self.lost}
            return http.json_response(start_response, 200, value)
        if path.startswith("/lookup/"):
            return self._lookup(path.removeprefix("/lookup/"), start_response)
        if environ["REQUEST_METHOD"] == "GET":
            return http.json_response(start_response, 200, {"path": path})
        return self._execute_call(environ, body, start_response)

    def _execute_call(
        self, environ: dict[str, Any], body: bytes, start_response: Any
    ) -> Iterable[bytes]:
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if self.rng.random() < self.faults.fail_before:
            self._break_connection(environ)
        self.clock.sleep_ms(self.faults.delay_ms)
        self._record_effect(key, environ.get("HTTP_HOLLYCART_ATTEMPT", ""))
        if self.rng.random() < self.faults.lose_answers:
            self.lost += 1
            self._break_connection(environ)
        receipt = f"{key}#{len(self.effects)}{self.receipt_padding}"
        value = {"receipt": receipt, "bytes": len(body)}
        return http.json_response(start_response, 200, value)

    def _record_effect(self, key: str, attempt: str) -> None:
        effect = (self.clock.wall_ms(), key, attempt)
        self.effects.append(effect)
        if self.journal:
            with open(self.journal, "a", encoding="utf-8") as file:
                file.write("\t".join(map(str, effect)) + "\n")

    def _lookup(self, key: str, start_response: Any) -> Iterable[bytes]:
        is_executed = any(k == key for _, k, _ in self.effects)
        if not is_executed:
            return http.json_response(start_response, 404, {})
        return http.json_response(start_response, 200, {"executed": key})

    def _break_connection(self, environ: dict[str, Any]) -> None:
        environ["eventlet.input"].get_socket().shutdown(2)
        raise base.EndpointFailedError("injected")
