"""Forwards opaque requests to endpoints of a platform that is not ours.

The platform's messages are decoded by a codec and a state decoder that the
adapter brings; this package knows only the types of `hollycart_core`.
"""

from hollycart.gateway._codec import AnswerMeta
from hollycart.gateway._codec import AttemptMeta
from hollycart.gateway._codec import RequestCodec
from hollycart.gateway._codec import RequestMeta
from hollycart.gateway._gateway import Gateway
from hollycart.gateway._settings import GatewaySettings
from hollycart.gateway._state import Snapshot
from hollycart.gateway._state import StateDecoder

__all__ = [
    "AnswerMeta",
    "AttemptMeta",
    "Gateway",
    "GatewaySettings",
    "RequestCodec",
    "RequestMeta",
    "Snapshot",
    "StateDecoder",
]
