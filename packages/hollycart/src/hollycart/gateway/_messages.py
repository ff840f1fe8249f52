"""Datagrams between instances, encoded with MessagePack.

The structs are sent as arrays: the order of their fields and the tags are the
wire format, the names are not. They are defined by subject in modules of their
own; other modules use them by the names of this one.
"""

from typing import Any

import msgspec

from hollycart.gateway import _crash_messages
from hollycart.gateway._endpoint_messages import EndpointCold
from hollycart.gateway._endpoint_messages import EndpointLeaving
from hollycart.gateway._endpoint_messages import EndpointLimit
from hollycart.gateway._endpoint_messages import EndpointLimited
from hollycart.gateway._endpoint_messages import EndpointReplaced
from hollycart.gateway._endpoint_messages import EndpointSuspected
from hollycart.gateway._endpoint_messages import PermitQuery
from hollycart.gateway._endpoint_messages import PermitReply
from hollycart.gateway._endpoint_messages import pack_limit
from hollycart.gateway._endpoint_messages import unpack_limit
from hollycart.gateway._load_messages import AttemptAssignments
from hollycart.gateway._load_messages import CellAnnouncement
from hollycart.gateway._load_messages import CellState
from hollycart.gateway._load_messages import EndpointAssignment
from hollycart.gateway._load_messages import EndpointReport
from hollycart.gateway._load_messages import Heartbeat
from hollycart.gateway._load_messages import LoadUpdate
from hollycart.gateway._load_messages import ServiceRoom
from hollycart.gateway._load_messages import UnaccountedLoads
from hollycart.gateway._load_messages import pack
from hollycart.gateway._load_messages import pack_report
from hollycart.gateway._load_messages import unpack
from hollycart.gateway._load_messages import unpack_report
from hollycart.gateway._placement_messages import DelegatedProgress
from hollycart.gateway._placement_messages import PlacementReply
from hollycart.gateway._placement_messages import PlacementRequest
from hollycart.gateway._state_messages import FreshnessQuery
from hollycart.gateway._state_messages import FreshnessReply
from hollycart.gateway._state_messages import StateChanged

__all__ = [
    "AttemptAssignments",
    "CellAnnouncement",
    "CellState",
    "DelegatedProgress",
    "EndpointAssignment",
    "EndpointCold",
    "EndpointLeaving",
    "EndpointLimit",
    "EndpointLimited",
    "EndpointReplaced",
    "EndpointReport",
    "EndpointSuspected",
    "FreshnessQuery",
    "FreshnessReply",
    "Heartbeat",
    "LoadUpdate",
    "Message",
    "PermitQuery",
    "PermitReply",
    "PlacementReply",
    "PlacementRequest",
    "ServiceRoom",
    "StateChanged",
    "UnaccountedLoads",
    "decode",
    "encode",
    "pack",
    "pack_limit",
    "pack_report",
    "unpack",
    "unpack_limit",
    "unpack_report",
]

Message = (
    Heartbeat
    | LoadUpdate
    | FreshnessQuery
    | FreshnessReply
    | StateChanged
    | EndpointSuspected
    | EndpointLeaving
    | EndpointReplaced
    | EndpointLimited
    | EndpointCold
    | PermitQuery
    | PermitReply
    | CellAnnouncement
    | PlacementRequest
    | PlacementReply
    | DelegatedProgress
    | UnaccountedLoads
    | _crash_messages.CrashEvidence
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: Any = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message.

    Example:
        >>> decode(encode(FreshnessQuery("a", 1.0))).sent_ms
        1.0
    """
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a message.

    Raises:
        Exception: If `data` is not a valid message; callers use `base.parse`.
    """
    message: Message = _DECODER.decode(data)
    return message
