"""Operations of the `hollycartctl` command, independent of its flags."""

from hollycartctl.operations._client import Applied
from hollycartctl.operations._client import OperatorClient
from hollycartctl.operations._client import OperatorConfig
from hollycartctl.operations._client import default_client
from hollycartctl.operations._where import ask_where

__all__ = [
    "Applied",
    "OperatorClient",
    "OperatorConfig",
    "ask_where",
    "default_client",
]
