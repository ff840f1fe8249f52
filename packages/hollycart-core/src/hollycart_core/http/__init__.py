"""HTTP client, WSGI server and WSGI helpers for green threads."""

from hollycart_core.http._client import HttpClient
from hollycart_core.http._client import HttpResponse
from hollycart_core.http._client import HttpStream
from hollycart_core.http._request_memory import MEMORY_KEY
from hollycart_core.http._request_memory import RequestMemory
from hollycart_core.http._server import HttpServer
from hollycart_core.http._wsgi import json_response
from hollycart_core.http._wsgi import read_body
from hollycart_core.http._wsgi import respond

__all__ = [
    "MEMORY_KEY",
    "HttpClient",
    "HttpResponse",
    "HttpServer",
    "HttpStream",
    "RequestMemory",
    "json_response",
    "read_body",
    "respond",
]
