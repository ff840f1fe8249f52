"""Key-value store: interface, etcd client, in-memory and faulty stores."""

from hollycart_core.kv._etcd import EtcdStore
from hollycart_core.kv._faulty import CallerLost
from hollycart_core.kv._faulty import CallFault
from hollycart_core.kv._faulty import FaultyStore
from hollycart_core.kv._memory import MemoryStore
from hollycart_core.kv._types import Compare
from hollycart_core.kv._types import KeyValue
from hollycart_core.kv._types import KeyValueStore
from hollycart_core.kv._types import Put
from hollycart_core.kv._types import RangeResult
from hollycart_core.kv._types import TxnResult

__all__ = [
    "CallFault",
    "CallerLost",
    "Compare",
    "EtcdStore",
    "FaultyStore",
    "KeyValue",
    "KeyValueStore",
    "MemoryStore",
    "Put",
    "RangeResult",
    "TxnResult",
]
