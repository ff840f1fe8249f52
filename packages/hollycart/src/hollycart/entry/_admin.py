"""The admin interface of an instance, for operators."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec

from hollycart.entry import _auth
from hollycart_core import base
from hollycart_core import http
from hollycart_core import table

PREFIX = "/admin/"
_MAX_BODY_BYTES = 4 << 20
_DELTAS_DECODER = msgspec.json.Decoder(list[table.Delta])


class AdminHandler:
    """Serves `status`, `histograms`, `table` and `drain` under `/admin/`.

    Args:
        operator_key_digest: Hex SHA-256 digest of the operator key.
        read_status: Returns the state of the instance.
        read_histograms: Returns the latency histograms.
        apply_deltas: Applies committed deltas to the limit table.
        start_drain: Starts a graceful shutdown and returns at once.
    """

    def __init__(
        self,
        operator_key_digest: str,
        read_status: Callable[[], dict[str, Any]],
        read_histograms: Callable[[], list[dict[str, Any]]],
        apply_deltas: Callable[[list[table.Delta]], None],
        start_drain: Callable[[], None],
    ) -> None:
        self.operator_key_digest = operator_key_digest
        self.read_status = read_status
        self.read_histograms = read_histograms
        self.apply_deltas = apply_deltas
        self.start_drain = start_drain

    def handle(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Handles one request of an operator.

        Raises:
            UnauthorizedError: If the operator key is wrong.
            InvalidRequestError: If the deltas cannot be decoded.
            NotFoundError: If the path does not exist.
        """
        _auth.check_operator(environ, self.operator_key_digest)
        route = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if route == ("GET", "/admin/status"):
            return http.json_response(start_response, 200, self.read_status())
        if route == ("GET", "/admin/histograms"):
            return http.json_response(
                start_response, 200, self.read_histograms()
            )
        if route == ("POST", "/admin/table"):
            return self._apply_table(environ, start_response)
        if route == ("POST", "/admin/drain"):
            self.start_drain()
            return http.json_response(start_response, 200, {})
        raise base.NotFoundError(environ["PATH_INFO"][:128])

    def _apply_table(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        data = http.read_body(environ, _MAX_BODY_BYTES)
        deltas = base.parse(_DELTAS_DECODER.decode, data).unwrap_or_raise(
            base.InvalidRequestError
        )
        self.apply_deltas(deltas)
        return http.json_response(start_response, 200, {})
