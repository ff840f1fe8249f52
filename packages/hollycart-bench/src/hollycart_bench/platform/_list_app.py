"""Stand-in for the instance list, which shows changes with a delay."""

from collections.abc import Iterable
from typing import Any

import msgspec

from hollycart_core import base
from hollycart_core import http
from hollycart_core import membership

_MAX_BODY_BYTES = 4 << 20


class ListApp:
    """Serves the instance list as it was a fixed time ago.

    Args:
        clock: Source of time.
        lag_ms: Time from a change until it is visible, in ms.

    Attributes:
        down: Whether reads of the list are refused.
    """

    def __init__(self, clock: base.Clock, lag_ms: float = 500.0) -> None:
        self.clock = clock
        self.lag_ms = lag_ms
        self.down = False
        self._versions: list[tuple[float, membership.InstanceList]] = [
            (-lag_ms, membership.InstanceList(0, ()))
        ]

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handles one request."""
        if environ["PATH_INFO"] == "/control/entries":
            return self._update(environ, start_response)
        if environ["PATH_INFO"] == "/control/down":
            self.down = msgspec.json.decode(http.read_body(environ, 100))
            return http.json_response(start_response, 200, {})
        if self.down:
            return http.json_response(start_response, 503, {})
        visible = self._visible()
        tag = f'"{visible.version}"'
        if environ.get("HTTP_IF_NONE_MATCH") == tag:
            return http.respond(start_response, 304, b"")
        return http.json_response(start_response, 200, visible, [("ETag", tag)])

    def _visible(self) -> membership.InstanceList:
        limit_ms = self.clock.now_ms() - self.lag_ms
        versions = [v for at_ms, v in self._versions if at_ms <= limit_ms]
        return versions[-1] if versions else self._versions[0][1]

    def _update(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        changed = msgspec.json.decode(
            http.read_body(environ, _MAX_BODY_BYTES),
            type=dict[str, membership.ListEntry | None],
        )
        last = self._versions[-1][1]
        entries = {e.entry_id: e for e in last.entries}
        for entry_id, entry in changed.items():
            if entry is None:
                entries.pop(entry_id, None)
            else:
                entries[entry_id] = entry
        version = membership.InstanceList(
            last.version + 1, tuple(entries.values())
        )
        self._versions.append((self.clock.now_ms(), version))
        return http.json_response(start_response, 200, {})
