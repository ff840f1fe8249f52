"""Instance list stand-in that shows changes late."""

from collections.abc import Iterable
from typing import Any

import msgspec

from hollycart_core import base
from hollycart_core import http
from hollycart_core import membership

_BODY_LIMIT = 4 << 20  # bytes


class ListApp:
    """Serves the platform's list with a lag.

    Args:
        clock: Source of time.
        lag_ms: How late a change is shown, in ms.
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
        shown = [v for at_ms, v in self._versions if at_ms <= limit_ms]
        return shown[-1] if shown else self._versions[0][1]

    def _update(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        changed = msgspec.json.decode(
            http.read_body(environ, _BODY_LIMIT),
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
