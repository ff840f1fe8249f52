"""Clients of the platform's instance list."""

from typing import Protocol

import msgspec

from hollycart_core import base
from hollycart_core import http
from hollycart_core.membership import _types

_READ_TIMEOUT_MS = 1000
_LIST_DECODER = msgspec.json.Decoder(_types.InstanceList)


class ListSource(Protocol):
    """Source of the platform's list of instances and endpoints.

    The list lags behind the processes that actually run.
    """

    def read(self) -> _types.InstanceList | None:
        """Returns the list, or None if unchanged since the last read."""


class HttpListSource:
    """Reads the instance list over HTTP, conditionally on its entity tag.

    Args:
        client: HTTP client.
        address: `host:port` of the server of the list.
    """

    def __init__(self, client: http.HttpClient, address: str) -> None:
        self.client = client
        self.address = address
        self._etag = ""

    def read(self) -> _types.InstanceList | None:
        """Returns the list, or None if unchanged since the last read.

        Raises:
            EndpointFailedError: If the server answers with an unexpected status
                or a malformed list.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        response = self.client.send(
            "GET",
            f"http://{self.address}/v1/instances",
            headers=headers,
            timeout_ms=_READ_TIMEOUT_MS,
        )
        if response.status == 304:
            return None
        if response.status != 200:
            raise base.EndpointFailedError(
                f"instance list at {self.address} answered HTTP "
                f"{response.status}, expected 200 or 304"
            )
        instances = (
            base.parse(_LIST_DECODER.decode, response.body)
            .map_err(lambda r: f"malformed list from {self.address}: {r}")
            .unwrap_or_raise(base.EndpointFailedError)
        )
        self._etag = response.headers.get("ETag", "")
        return instances
