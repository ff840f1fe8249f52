"""Keeps this instance registered in the store for its peers."""

import random
from typing import Any

from absl import logging
import eventlet

from hollycart_core import base
from hollycart_core import kv

_RENEWAL_INTERVAL_MS = 10000.0
_RENEWAL_JITTER = 0.2  # of the interval, either way
# A restored store has lost the registrations of all instances. They register
# again spread over this time, so that the store's limits hold.
_RESTORE_SPREAD_MS = 1200.0
_MIN_RETRY_MS = 400.0


class Registration:
    """Writes the instance's record under a lease and renews the lease.

    Args:
        store: The platform's key-value store.
        record: The record by which peers discover the instance.
        ttl_ms: Time to live of the lease, in ms.
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: kv.KeyValueStore,
        record: kv.Put,
        ttl_ms: float,
        clock: base.Clock,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.record = record
        self.ttl_ms = ttl_ms
        self.clock = clock
        self.rng = rng
        self._lease_id = 0
        self._failures = 0
        self._thread: Any = None
        self._guard = base.LoopGuard("renewing the registration")

    def start(self) -> None:
        """Registers and starts to renew the lease."""
        self._schedule(0.0)

    def close(self) -> None:
        """Stops renewing the lease."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def handle_restored_store(self) -> None:
        """Registers again, since the store may have lost the registration.

        The lease is not renewed: a restored store gives out its id again.
        """
        self._lease_id = 0
        self._schedule(self.next_delay_ms(restored=True))

    def renew(self) -> bool:
        """Renews the lease, or registers without one.

        Returns:
            Whether the instance is registered.
        """
        try:
            if not self._lease_id or not self.store.keep_alive(self._lease_id):
                self._lease_id = 0
                lease_id = self.store.grant_lease(self.ttl_ms)
                self.store.txn((), (self.record._replace(lease_id=lease_id),))
                self._lease_id = lease_id
        except base.HollycartError as exc:
            self._failures += 1
            logging.info("instance registration not renewed: %s", exc.detail)
            return False
        self._failures = 0
        return True

    def next_delay_ms(self, restored: bool = False) -> float:
        """Returns the time until the next renewal, in ms.

        Args:
            restored: Whether the store was restored from an older copy.
        """
        if restored:
            return self.rng.uniform(0.0, _RESTORE_SPREAD_MS)
        jitter = 1.0 + self.rng.uniform(-_RENEWAL_JITTER, _RENEWAL_JITTER)
        interval_ms = _RENEWAL_INTERVAL_MS
        if self._failures:
            backoff_ms = _MIN_RETRY_MS * 2.0 ** min(self._failures - 1, 10)
            interval_ms = min(interval_ms, backoff_ms)
        return interval_ms * jitter

    def _schedule(self, delay_ms: float) -> None:
        thread, self._thread = self._thread, None
        if thread is not None and thread is not eventlet.getcurrent():
            thread.kill()
        self._thread = eventlet.spawn_after(delay_ms / 1000.0, self._run)

    def _run(self) -> None:
        with self._guard.turn():
            self.renew()
        self._schedule(self.next_delay_ms())
