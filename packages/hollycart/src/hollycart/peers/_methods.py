"""The methods that instances call on each other, with their types."""

from typing import Any
from typing import NamedTuple

from hollycart.peers import _messages

SERVICE = "hollycart.Peer"


class Method(NamedTuple):
    """A remote method.

    Attributes:
        name: Name on the wire.
        request_type: Type of the request message.
        reply_type: Type of the reply message.
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
