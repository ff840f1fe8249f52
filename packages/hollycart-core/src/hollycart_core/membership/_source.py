"""Adapter to the platform's instance list."""

from typing import Protocol

import msgspec

from hollycart_core import base
from hollycart_core import http
from hollycart_core.membership import _types

_TIMEOUT_MS = 1000


class ListSource(Protocol):
    """The platform's lagging list of instances and endpoints."""

    def read(self) -> _types.InstanceList | None:
        """Returns the list, or None if it is unchanged since last time."""


class HttpListSource:
    """Reads the list over HTTP with an entity tag.

    Args:
        client: HTTP client.
        address: `host:port` of the list.
    """

    def __init__(self, client: http.HttpClient, address: str) -> None:
        self.client = client
        self.address = address
        self._tag = ""

    def read(self) -> _types.InstanceList | None:
        """Returns the list, or None if it is unchanged since last time.

        Raises:
            EndpointFailedError: If the list does not answer.
        """
        headers = {"If-None-Match": self._tag} if self._tag else {}
        reply = self.client.send(
            "GET",
            f"http://{self.address}/v1/instances",
            headers=headers,
            timeout_ms=_TIMEOUT_MS,
        )
        if reply.status == 304:
            return None
        if reply.status != 200:
            raise base.EndpointFailedError(f"list: {reply.status}")
        try:
            found = msgspec.json.decode(reply.body, type=_types.InstanceList)
        except base.DECODE_ERRORS as exc:
            raise base.EndpointFailedError(f"list: {exc}") from exc
        self._tag = reply.headers.get("ETag", "")
        return found
