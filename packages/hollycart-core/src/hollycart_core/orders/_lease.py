"""A lease in the key-value service that names one order holder."""

import msgspec

from hollycart_core import base
from hollycart_core import kv
from hollycart_core.orders import _gate
from hollycart_core.orders import _types

HOLDER_KEY = "hollycart/orders/holder"


class OrderLease:
    """Acquires and renews the order lease of one scope.

    The fencing number is the store revision that created the holder's key, so
    it increases from holder to holder without a counter of its own.

    Args:
        store: The key-value service.
        owner: Identifier of this instance and process.
        clock: Source of time.
        times: Bounds of the order protocol.
        scope: Cell whose endpoints receive the orders.
    """

    def __init__(
        self,
        store: kv.KeyValueStore,
        owner: str,
        clock: base.Clock,
        times: _gate.GateTimes | None = None,
        scope: str = "default",
    ) -> None:
        self.store = store
        self.owner = owner
        self.clock = clock
        self.times = times or _gate.GateTimes()
        self.scope = scope
        self.held: _types.HeldLease | None = None

    def acquire(self) -> _types.HeldLease | None:
        """Tries to become the holder.

        Returns:
            The lease, or None if another holder has it.

        Raises:
            KvUnavailableError: If the service does not answer.
        """
        key = f"{HOLDER_KEY}/{self.scope}"
        if self.store.range(key).items:
            return None
        sent_ms = self.clock.now_ms()
        lease_id = self.store.grant_lease(self.times.lease_ms)
        value = msgspec.json.encode([self.owner, lease_id])
        try:
            self.store.txn([kv.Compare(key, 0)], [kv.Put(key, value, lease_id)])
        except base.KvAnswerLostError:
            pass  # the read below tells
        found = self.store.range(key).items
        if not found or found[0].value != value:
            return None
        self.held = _types.HeldLease(
            lease_id,
            found[0].create_revision,
            sent_ms + self.times.lease_ms,
            self.clock.now_ms(),
        )
        return self.held

    def renew(self) -> _types.HeldLease | None:
        """Renews the lease; returns None once it has been lost."""
        if self.held is None:
            return None
        sent_ms = self.clock.now_ms()
        try:
            alive = self.store.keep_alive(self.held.lease_id)
        except (base.KvUnavailableError, base.KvAnswerLostError):
            alive = sent_ms < self.held.expires_ms
            sent_ms = self.held.expires_ms - self.times.lease_ms
        if not alive:
            self.held = None
            return None
        self.held = self.held._replace(expires_ms=sent_ms + self.times.lease_ms)
        return self.held

    def release(self) -> None:
        """Gives the lease up, so that another instance may acquire it."""
        if self.held is None:
            return
        lease_id = self.held.lease_id
        self.held = None
        try:
            self.store.revoke_lease(lease_id)
        except base.HollycartError:
            pass  # it lapses by itself
