"""Reverse proxy for the endpoints of a platform that is operated by others.

Request bodies are opaque. An adapter supplies a `RequestCodec` and a
`StateDecoder` for the platform's formats, so that this package depends only on
the types of `hollycart_core`.
"""

from hollycart.gateway._address_book import InstanceAddress
from hollycart.gateway._codec import AttemptMeta
from hollycart.gateway._codec import EndpointLoad
from hollycart.gateway._codec import RequestCodec
from hollycart.gateway._codec import RequestMeta
from hollycart.gateway._codec import ResponseMeta
from hollycart.gateway._gateway import Gateway
from hollycart.gateway._settings import GatewaySettings
from hollycart.gateway._settings import PolicySettings
from hollycart.gateway._state import Snapshot
from hollycart.gateway._state import StateDecoder

__all__ = [
    "AttemptMeta",
    "EndpointLoad",
    "Gateway",
    "GatewaySettings",
    "InstanceAddress",
    "PolicySettings",
    "RequestCodec",
    "RequestMeta",
    "ResponseMeta",
    "Snapshot",
    "StateDecoder",
]
