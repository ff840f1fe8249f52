"""gRPC calls between instances, served on the eventlet loop."""

from hollycart.peers._bridge import LoopBridge
from hollycart.peers._client import PeerClient
from hollycart.peers._messages import AcquireMessage
from hollycart.peers._messages import AcquireReply
from hollycart.peers._messages import ClaimMessage
from hollycart.peers._messages import ClaimReply
from hollycart.peers._messages import ConfirmMessage
from hollycart.peers._messages import ConfirmReply
from hollycart.peers._messages import Empty
from hollycart.peers._messages import ExchangeMessage
from hollycart.peers._messages import FirstToken
from hollycart.peers._messages import ReportMessage
from hollycart.peers._messages import TableQuery
from hollycart.peers._messages import TableReply
from hollycart.peers._methods import ACQUIRE
from hollycart.peers._methods import CLAIM
from hollycart.peers._methods import CONFIRM
from hollycart.peers._methods import EXCHANGE
from hollycart.peers._methods import REPORT
from hollycart.peers._methods import TABLE
from hollycart.peers._methods import Method
from hollycart.peers._server import PeerServer

__all__ = [
    "ACQUIRE",
    "CLAIM",
    "CONFIRM",
    "EXCHANGE",
    "REPORT",
    "TABLE",
    "AcquireMessage",
    "AcquireReply",
    "ClaimMessage",
    "ClaimReply",
    "ConfirmMessage",
    "ConfirmReply",
    "Empty",
    "ExchangeMessage",
    "FirstToken",
    "LoopBridge",
    "Method",
    "PeerClient",
    "PeerServer",
    "ReportMessage",
    "TableQuery",
    "TableReply",
]
