"""Brings endpoints to their declared state under the order lease."""

import msgspec

from hollycart import endpoints
from hollycart import observe
from hollycart.entry import _directory
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import membership
from hollycart_core import orders

TARGETS_KEY = "hollycart/targets"
_CANDIDATES = 2  # instances of a cell that compete for the lease
_MAX_LOADS = 2  # orders at a time, for the weight store's rate
_IDLE_MS = 3_000.0


class OrderLoop:
    """Holds the order lease of a cell and sends orders.

    An order carries the whole target state, so that a repeated or late one
    does no harm: the endpoint's state is read back and corrected.

    Args:
        store: The key-value service.
        lease: Lease of the cell.
        gate: Decides whether an order may be sent.
        directory: Endpoints.
        engine_client: Speaks to engines.
        clock: Source of time.
        metrics: Counters.
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
        """Competes for the lease, or renews it and sends what is due.

        Raises:
            HollycartError: If the key-value service does not answer.
        """
        if not self._is_candidate():
            self.lease.release()
            self.clock.sleep_ms(_IDLE_MS)
            return
        if self.lease.held is None:
            self._acquire()
            return
        if self.lease.renew() is None:
            self.metrics.count("order.lease_lost")
            observe.log_event("order_lease_lost", scope=self.lease.scope)
            return
        self._send_due()

    def close(self) -> None:
        """Gives the lease up."""
        self.lease.release()

    def _acquire(self) -> None:
        if not self._targets():
            return
        held = self.lease.acquire()
        if held is None:
            self.clock.sleep_ms(_IDLE_MS)
            return
        self.metrics.count("order.lease_acquired")
        observe.log_event(
            "order_lease_acquired", scope=self.lease.scope, fence=held.fence
        )

    def _is_candidate(self) -> bool:
        view = self.directory.view
        order = base.rendezvous_rank("orders", view.live(self.clock.now_ms()))
        return view.own_entry.entry_id in order[:_CANDIDATES]

    def _targets(self) -> list[orders.Order]:
        found = self.store.range(TARGETS_KEY).items
        if not found:
            return []
        return msgspec.json.decode(found[0].value, type=list[orders.Order])

    def _send_due(self) -> None:
        sent = 0
        for order in self._targets():
            entry = self.directory.entries.get(order.endpoint_id)
            if (
                entry is None
                or entry.cell != self.directory.view.own_entry.cell
            ):
                continue
            if sent >= _MAX_LOADS:
                return
            if self._differs(entry, order) and self._send(entry, order):
                sent += 1

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
            reply = self.engine_client.send_order(
                entry.address, order, held.fence
            )
        except base.LeaseLostError:
            self.metrics.count("order.held_back")
            return False
        except base.HollycartError:
            self.metrics.count("order.failed")
            return True
        self.metrics.count(f"order.status_{reply.status}")
        if reply.status == 200:
            observe.log_event(
                "order_done", endpoint=entry.entry_id, fence=held.fence
            )
        return True
