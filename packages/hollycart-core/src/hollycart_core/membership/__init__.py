"""Instance list of the platform and live membership of a cell."""

from hollycart_core.membership._source import HttpListSource
from hollycart_core.membership._source import ListSource
from hollycart_core.membership._types import KIND_ENGINE
from hollycart_core.membership._types import KIND_INSTANCE
from hollycart_core.membership._types import KIND_SERVICE
from hollycart_core.membership._types import InstanceList
from hollycart_core.membership._types import ListEntry
from hollycart_core.membership._types import MemberDigest
from hollycart_core.membership._view import FAILURE_TIMEOUT_MS
from hollycart_core.membership._view import MembershipView

__all__ = [
    "FAILURE_TIMEOUT_MS",
    "KIND_ENGINE",
    "KIND_INSTANCE",
    "KIND_SERVICE",
    "HttpListSource",
    "InstanceList",
    "ListEntry",
    "ListSource",
    "MemberDigest",
    "MembershipView",
]
