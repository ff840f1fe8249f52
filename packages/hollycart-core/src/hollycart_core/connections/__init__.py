"""HTTP/1.1 client and server connections that forward bytes unchanged.

h11 parses and frames the messages. urllib3 and eventlet's WSGI server hide
what the forwarder needs: bytes after the end of a response, how a body without
Content-Length ended, the raw request target, and whether the caller is still
connected.
"""

from hollycart_core.connections._client import ClientConnection
from hollycart_core.connections._connection_limit import choose_victim
from hollycart_core.connections._exchange import CallerGoneError
from hollycart_core.connections._exchange import Exchange
from hollycart_core.connections._memory_budget import MemoryAccount
from hollycart_core.connections._memory_budget import MemoryBudget
from hollycart_core.connections._memory_budget import MemoryVerdict
from hollycart_core.connections._memory_gate import MemoryGate
from hollycart_core.connections._memory_gate import ResponseShedError
from hollycart_core.connections._messages import Framing
from hollycart_core.connections._messages import Headers
from hollycart_core.connections._messages import RequestHead
from hollycart_core.connections._messages import Response
from hollycart_core.connections._messages import ResponseHead
from hollycart_core.connections._messages import end_to_end_headers
from hollycart_core.connections._messages import find_header
from hollycart_core.connections._pool import ConnectionPool
from hollycart_core.connections._process_bounds import bound_connections
from hollycart_core.connections._process_bounds import bound_held_bytes
from hollycart_core.connections._server import RECEIVE_BUFFER_BYTES
from hollycart_core.connections._server import HttpExchangeServer
from hollycart_core.connections._server_interface import ServerLimits

__all__ = [
    "RECEIVE_BUFFER_BYTES",
    "CallerGoneError",
    "ClientConnection",
    "ConnectionPool",
    "Exchange",
    "Framing",
    "HttpExchangeServer",
    "Headers",
    "MemoryAccount",
    "MemoryBudget",
    "MemoryGate",
    "MemoryVerdict",
    "RequestHead",
    "Response",
    "ResponseHead",
    "ResponseShedError",
    "ServerLimits",
    "bound_connections",
    "bound_held_bytes",
    "choose_victim",
    "end_to_end_headers",
    "find_header",
]
