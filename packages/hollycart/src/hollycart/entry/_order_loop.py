"""Reconciles endpoints with their target state under the order lease."""

import msgspec

from hollycart import endpoints
from hollycart import observe
from hollycart.entry import _directory
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import membership
from hollycart_core import orders

TARGETS_KEY = "hollycart/targets"
_CANDIDATE_COUNT = 2  # instances of a cell that compete for the lease
_MAX_ORDERS_PER_STEP = 2  # limits the read rate at the model weight store
_NO_LEASE_SLEEP_MS = 3_000.0


class OrderLoop:
    """Holds the order lease of a cell and sends orders.

    An order carries the full target state, so it is idempotent. A late order
    may set an outdated state; the next step reads the endpoint's state and
    corrects it.

    Args:
        store: The key-value store.
        lease: Order lease of the cell.
        gate: Decides whether an order may be sent.
        directory: Known instances and endpoints.
        engine_client: Client for calls to engines.
        clock: Source of time.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        store: kv.KeyValueStore,
        lease: orders.OrderLease,
        gate: orders.OrderGate,
        directory: _directory.Directory,
        engine_client: endpoints.EngineClient,
        clock: base.Clock,
        metrics: observe.Metrics,
    ) -> None:
        self.store = store
        self.lease = lease
        self.gate = gate
        self.directory = directory
        self.engine_client = engine_client
        self.clock = clock
        self.metrics = metrics

    def step(self) -> None:
        """Acquires the lease, or renews it and sends the orders that are due.

        Raises:
            HollycartError: If the key-value store does not answer.
        """
        if not self._is_candidate():
            self.lease.release()
            self.clock.sleep_ms(_NO_LEASE_SLEEP_MS)
            return
        if self.lease.held is None:
            self._acquire()
            return
        if self.lease.renew() is None:
            self.metrics.count("order.lease_lost")
            observe.log_event("order_lease_lost", scope=self.lease.scope)
            return
        self._send_due_orders()

    def close(self) -> None:
        """Releases the lease."""
        self.lease.release()

    def _acquire(self) -> None:
        if not self._read_targets():
            return
        held = self.lease.acquire()
        if held is None:
            self.clock.sleep_ms(_NO_LEASE_SLEEP_MS)
            return
        self.metrics.count("order.lease_acquired")
        observe.log_event(
            "order_lease_acquired", scope=self.lease.scope, fence=held.fence
        )

    def _is_candidate(self) -> bool:
        view = self.directory.view
        order = base.rendezvous_rank("orders", view.live(self.clock.now_ms()))
        return view.own_entry.entry_id in order[:_CANDIDATE_COUNT]

    def _read_targets(self) -> list[orders.Order]:
        found = self.store.range(TARGETS_KEY).items
        if not found:
            return []
        return msgspec.json.decode(found[0].value, type=list[orders.Order])

    def _send_due_orders(self) -> None:
        sent_count = 0
        for order in self._read_targets():
            entry = self.directory.entries.get(order.endpoint_id)
            if (
                entry is None
                or entry.cell != self.directory.view.own_entry.cell
            ):
                continue
            if sent_count >= _MAX_ORDERS_PER_STEP:
                return
            if self._differs(entry, order) and self._send(entry, order):
                sent_count += 1

    def _differs(
        self, entry: membership.ListEntry, order: orders.Order
    ) -> bool:
        try:
            state = self.engine_client.read_state(entry.address)
        except base.HollycartError:
            return False
        same_models = tuple(state.get("models", ())) == order.models
        return not same_models or state.get("role") != order.role

    def _send(self, entry: membership.ListEntry, order: orders.Order) -> bool:
        held = self.lease.held
        if held is None:
            return False
        try:
            self.gate.check(held, entry.checks_fence, self.clock.now_ms())
            response = self.engine_client.send_order(
                entry.address, order, held.fence
            )
        except base.LeaseLostError:
            self.metrics.count("order.held_back")
            return False
        except base.HollycartError:
            self.metrics.count("order.failed")
            return True
        self.metrics.count(f"order.status_{response.status}")
        if response.status == 200:
            observe.log_event(
                "order_done", endpoint=entry.entry_id, fence=held.fence
            )
        return True
