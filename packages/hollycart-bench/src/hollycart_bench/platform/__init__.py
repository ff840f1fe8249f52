"""Stand-ins for the platform that the entry instances run on.

They stand in for the key-value store, the instance list, the weight store, the
plain services and the load balancer.
"""

from hollycart_bench.platform._balancer import Balancer
from hollycart_bench.platform._balancer import copy_bidirectional
from hollycart_bench.platform._kv_app import KvApp
from hollycart_bench.platform._list_app import ListApp
from hollycart_bench.platform._service_app import ServiceApp
from hollycart_bench.platform._weight_app import WeightApp

__all__ = [
    "Balancer",
    "KvApp",
    "ListApp",
    "ServiceApp",
    "WeightApp",
    "copy_bidirectional",
]
