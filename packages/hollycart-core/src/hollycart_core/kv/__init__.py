"""Key-value store: interface, etcd client, in-memory and faulty stores.

`EtcdStore` is loaded on its first use. It needs an HTTP client, which a process
with another store would load for nothing at each start.
"""

from typing import TYPE_CHECKING
from typing import Any

from hollycart_core.kv._faulty import CallerLost
from hollycart_core.kv._faulty import CallFault
from hollycart_core.kv._faulty import FaultyStore
from hollycart_core.kv._memory import MemoryStore
from hollycart_core.kv._types import Compare
from hollycart_core.kv._types import KeyValue
from hollycart_core.kv._types import KeyValueStore
from hollycart_core.kv._types import Position
from hollycart_core.kv._types import Put
from hollycart_core.kv._types import RangeResult
from hollycart_core.kv._types import TxnResult

if TYPE_CHECKING:
    from hollycart_core.kv._etcd import EtcdStore

__all__ = [
    "CallFault",
    "CallerLost",
    "Compare",
    "EtcdStore",
    "FaultyStore",
    "KeyValue",
    "KeyValueStore",
    "MemoryStore",
    "Position",
    "Put",
    "RangeResult",
    "TxnResult",
]


def __getattr__(name: str) -> Any:
    if name == "EtcdStore":
        from hollycart_core.kv import _etcd

        return _etcd.EtcdStore
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
