"""The calls between instances and their message types."""

from typing import Any
from typing import NamedTuple

from hollycart.peers import _messages

SERVICE = "hollycart.Peer"


class Method(NamedTuple):
    """One call.

    Attributes:
        name: Name on the wire.
        request_type: Type of the request.
        reply_type: Type of the answer.
    """

    name: str
    request_type: Any
    reply_type: Any


EXCHANGE = Method(
    "Exchange", _messages.ExchangeMessage, _messages.ExchangeMessage
)
ACQUIRE = Method("Acquire", _messages.AcquireMessage, _messages.AcquireReply)
REPORT = Method("Report", _messages.ReportMessage, _messages.Empty)
CONFIRM = Method("Confirm", _messages.ConfirmMessage, _messages.ConfirmReply)
CLAIM = Method("Claim", _messages.ClaimMessage, _messages.ClaimReply)
TABLE = Method("Table", _messages.TableQuery, _messages.TableReply)
