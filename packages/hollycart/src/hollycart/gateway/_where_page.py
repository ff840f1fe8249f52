"""Serves dry runs of placements beside the metrics page."""

import urllib.parse

import msgspec

from hollycart.gateway import _forwarder
from hollycart.gateway import _where
from hollycart_core import base
from hollycart_core import connections
from hollycart_core import dry_run

_PATH = b"/where"
_HEADERS = ((b"Content-Type", b"application/json"),)
_RETRY_AFTER_MS = 1000.0


def is_query(head: connections.RequestHead) -> bool:
    """Returns whether a request asks where another one would be sent."""
    return head.target.partition(b"?")[0] == _PATH


class WherePage:
    """Answers queries where a request would be sent now.

    They are answered one at a time: each predicts the load of all endpoints of
    a service.

    Args:
        forwarder: Forwards the requests of callers.
    """

    def __init__(self, forwarder: _forwarder.Forwarder) -> None:
        self.forwarder = forwarder
        self._dry_run = _where.PlacementDryRun(forwarder)
        self._is_busy = False

    def serve(self, exchange: connections.Exchange) -> None:
        """Responds to one query."""
        try:
            answer = self._answer(exchange.head)
        except base.HollycartError as exc:
            failure = dry_run.Failure(exc.code, exc.detail)
            body = msgspec.json.encode(failure)
            exchange.respond(exc.http_status, _HEADERS, body)
        else:
            exchange.respond(200, _HEADERS, msgspec.json.encode(answer))

    def _answer(self, head: connections.RequestHead) -> dry_run.Answer:
        if head.method != b"GET":
            raise base.MethodNotAllowedError("only GET is supported")
        query = _decode(head.target)
        if self._is_busy:
            raise base.OverloadedError(
                "another query is being answered", _RETRY_AFTER_MS
            )
        self._is_busy = True
        try:
            return self._dry_run.run(query)
        finally:
            self._is_busy = False


def _decode(target: bytes) -> dry_run.Query:
    text = target.partition(b"?")[2].decode("latin-1")
    fields = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
    try:
        return msgspec.convert(fields, dry_run.Query, strict=False)
    except msgspec.ValidationError as exc:
        raise base.InvalidRequestError(str(exc)) from exc
