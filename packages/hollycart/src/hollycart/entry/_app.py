"""The WSGI application of an entry instance."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from hollycart import observe
from hollycart.entry import _admin
from hollycart.entry import _auth
from hollycart.entry import _completions
from hollycart.entry import _directory
from hollycart.entry import _lifecycle
from hollycart.entry import _service_calls
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import http
from hollycart_core import table

_COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")


class EntryApp:
    """Routes the requests of callers and operators.

    Args:
        table_follower: Holds the limit table in force.
        directory: Instances and endpoints.
        completions: Serves completions.
        service_calls: Serves calls to services.
        admin: Serves the admin paths.
        lifecycle: Readiness and requests in flight.
        metrics: Counters.
        memory: Bounds the bodies that are held for all callers.
    """

    def __init__(
        self,
        table_follower: table.TableFollower,
        directory: _directory.Directory,
        completions: _completions.CompletionHandler,
        service_calls: _service_calls.ServiceHandler,
        admin: _admin.AdminHandler,
        lifecycle: _lifecycle.Lifecycle,
        metrics: observe.Metrics,
        memory: connections.MemoryGate,
    ) -> None:
        self.table_follower = table_follower
        self.directory = directory
        self.completions = completions
        self.service_calls = service_calls
        self.admin = admin
        self.lifecycle = lifecycle
        self.metrics = metrics
        self.memory = memory

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handles one request as a WSGI application."""
        path = environ["PATH_INFO"]
        if path in ("/healthz", "/readyz"):
            return self._health_response(path, start_response)
        start = self._with_connection_close(start_response)
        self.lifecycle.enter()
        memory = http.RequestMemory(self.memory)
        environ[http.MEMORY_KEY] = memory

        def end() -> None:
            memory.close()
            self.lifecycle.leave()

        try:
            body = self._route(path, environ, start)
        except base.HollycartError as exc:
            end()
            self.metrics.count(f"error.{exc.code}")
            return _error_response(start, exc)
        except BaseException:
            end()
            self.metrics.count("error.unexpected")
            raise
        return _TrackedBody(body, end)

    def _route(
        self, path: str, environ: dict[str, Any], start_response: Any
    ) -> Iterator[bytes]:
        if path.startswith(_admin.PREFIX):
            return iter(self.admin.handle(environ, start_response))
        if path in _COMPLETION_PATHS:
            if environ["REQUEST_METHOD"] != "POST":
                raise base.MethodNotAllowedError("POST only")
            self._check_ready()
            caller = _auth.authenticate(environ, self.table_follower.current)
            self.metrics.count("request.completion")
            return self.completions.handle(environ, start_response, caller)
        if path.startswith(_service_calls.PREFIX):
            self._check_ready()
            caller = _auth.authenticate(environ, self.table_follower.current)
            self.metrics.count("request.service")
            return self.service_calls.handle(environ, start_response, caller)
        if path == "/v1/models":
            return iter(self._models_response(environ, start_response))
        raise base.NotFoundError(path[:128])

    def _check_ready(self) -> None:
        if not self.lifecycle.serving:
            raise base.OverloadedError("not ready", retry_after_ms=1000.0)

    def _health_response(
        self, path: str, start_response: Any
    ) -> Iterable[bytes]:
        ok = path == "/healthz" or self.lifecycle.ready
        status = 200 if ok else 503
        return http.json_response(start_response, status, {"ok": ok})

    def _models_response(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] != "GET":
            raise base.MethodNotAllowedError("GET only")
        digest = _auth.key_digest(_auth.bearer_key(environ))
        if digest not in self.table_follower.current.teams_by_digest:
            raise base.UnauthorizedError("unknown bearer key")
        data = [
            {"id": m, "object": "model", "owned_by": "hollycart"}
            for m in self.directory.models()
        ]
        return http.json_response(
            start_response, 200, {"object": "list", "data": data}
        )

    def _with_connection_close(self, start_response: Any) -> Any:
        """Adds `Connection: close` to responses while the instance drains.

        Callers then reconnect, and the load balancer directs them to another
        instance.
        """

        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            if self.lifecycle.draining:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers)

        return start


class _TrackedBody:
    """A response body that calls `on_end` once, when it is closed."""

    def __init__(
        self, body: Iterator[bytes], on_end: Callable[[], None]
    ) -> None:
        self.body = body
        self.on_end: Callable[[], None] | None = on_end

    def __iter__(self) -> Iterator[bytes]:
        return self.body

    def close(self) -> None:
        """Closes the body; WSGI servers also call this after a disconnect."""
        on_end, self.on_end = self.on_end, None
        try:
            close = getattr(self.body, "close", None)
            if close is not None:
                close()
        finally:
            if on_end is not None:
                on_end()


def _error_response(
    start_response: Any, exc: base.HollycartError
) -> list[bytes]:
    headers = []
    if exc.retry_after_ms is not None:
        seconds = max(1, -(-int(exc.retry_after_ms) // 1000))
        headers.append(("Retry-After", str(seconds)))
    if exc.attempt_id:
        headers.append(("Hollycart-Attempt", exc.attempt_id))
    if isinstance(exc, base.NotRunError):
        headers.append(("Hollycart-Outcome", "not-run"))
    if isinstance(exc, base.OutcomeUnknownError):
        headers.append(("Hollycart-Outcome", "unknown"))
    value = {"error": _completions.error_value(exc)}
    return http.json_response(start_response, exc.http_status, value, headers)
