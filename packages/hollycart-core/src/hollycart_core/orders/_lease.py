"""The lease that makes one instance the sender of orders."""

import msgspec

from hollycart_core import base
from hollycart_core import kv
from hollycart_core.orders import _gate
from hollycart_core.orders import _types

HOLDER_KEY = "hollycart/orders/holder"


class OrderLease:
    """Acquires, renews and releases the order lease of one scope.

    The fencing token is the store revision that created the holder's key. It
    therefore increases with each holder without a separate counter.

    Args:
        store: The key-value store.
        owner: Identifier of this instance and process.
        clock: Source of time.
        timings: Time bounds of the order protocol.
        scope: Cell whose endpoints receive the orders.
    """

    def __init__(
        self,
        store: kv.KeyValueStore,
        owner: str,
        clock: base.Clock,
        timings: _gate.OrderTimings | None = None,
        scope: str = "default",
    ) -> None:
        self.store = store
        self.owner = owner
        self.clock = clock
        self.timings = timings or _gate.OrderTimings()
        self.scope = scope
        self.held: _types.HeldLease | None = None

    def acquire(self) -> _types.HeldLease | None:
        """Tries to acquire the lease.

        Returns:
            The lease, or None if another holder has it.

        Raises:
            KvUnavailableError: If the store does not answer.
        """
        key = f"{HOLDER_KEY}/{self.scope}"
        if self.store.range(key).items:
            return None
        sent_ms = self.clock.now_ms()
        lease_id = self.store.grant_lease(self.timings.lease_ms)
        value = msgspec.json.encode([self.owner, lease_id])
        try:
            self.store.txn([kv.Compare(key, 0)], [kv.Put(key, value, lease_id)])
        except base.KvAnswerLostError:
            pass  # the read below shows whether the transaction succeeded
        found = self.store.range(key).items
        if not found or found[0].value != value:
            return None
        self.held = _types.HeldLease(
            lease_id,
            found[0].create_revision,
            sent_ms + self.timings.lease_ms,
            self.clock.now_ms(),
        )
        return self.held

    def renew(self) -> _types.HeldLease | None:
        """Renews the lease.

        If the store does not answer, the lease is kept until it expires.

        Returns:
            The lease, or None if it is not held or has been lost.
        """
        if self.held is None:
            return None
        sent_ms = self.clock.now_ms()
        try:
            is_alive = self.store.keep_alive(self.held.lease_id)
        except (base.KvUnavailableError, base.KvAnswerLostError):
            is_alive = sent_ms < self.held.expires_ms
            sent_ms = self.held.expires_ms - self.timings.lease_ms
        if not is_alive:
            self.held = None
            return None
        self.held = self.held._replace(
            expires_ms=sent_ms + self.timings.lease_ms
        )
        return self.held

    def release(self) -> None:
        """Releases the lease, so that another instance can acquire it."""
        if self.held is None:
            return
        lease_id = self.held.lease_id
        self.held = None
        try:
            self.store.revoke_lease(lease_id)
        except base.HollycartError:
            pass  # the lease expires by itself
