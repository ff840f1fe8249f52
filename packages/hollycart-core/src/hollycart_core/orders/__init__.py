"""Orders to endpoints, sent under a lease with fencing."""

from hollycart_core.orders._gate import OrderGate
from hollycart_core.orders._gate import OrderTimings
from hollycart_core.orders._lease import HOLDER_KEY
from hollycart_core.orders._lease import OrderLease
from hollycart_core.orders._types import HeldLease
from hollycart_core.orders._types import Order

__all__ = [
    "HOLDER_KEY",
    "HeldLease",
    "Order",
    "OrderGate",
    "OrderLease",
    "OrderTimings",
]
