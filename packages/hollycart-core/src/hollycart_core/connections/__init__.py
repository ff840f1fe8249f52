"""HTTP/1.1 connections whose bytes are passed on unchanged.

The framing comes from h11. urllib3 and eventlet's WSGI server hide what the
forwarder has to see: bytes after an answer, how a body without a length ended,
the raw path, and whether the caller is still there.
"""

from hollycart_core.connections._client import ClientConnection
from hollycart_core.connections._messages import Headers
from hollycart_core.connections._messages import Reply
from hollycart_core.connections._messages import RequestHead
from hollycart_core.connections._messages import ResponseHead
from hollycart_core.connections._messages import end_to_end_headers
from hollycart_core.connections._messages import find_header
from hollycart_core.connections._pool import ConnectionPool
from hollycart_core.connections._server import CallerGoneError
from hollycart_core.connections._server import Exchange
from hollycart_core.connections._server import HttpExchangeServer
from hollycart_core.connections._server import ServerLimits

__all__ = [
    "CallerGoneError",
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "HttpExchangeServer",
    "Headers",
    "Reply",
    "RequestHead",
    "ResponseHead",
    "ServerLimits",
    "end_to_end_headers",
    "find_header",
]
