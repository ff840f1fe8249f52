"""Instances and endpoints, from the list and the exchanged heartbeats."""

from collections.abc import Callable
import random

import eventlet
from eventlet import semaphore

from hollycart import observe
from hollycart import peers
from hollycart_core import base
from hollycart_core import membership

_EXCHANGE_FANOUT = 2  # reachable peers for each exchange
# Probability that an exchange also tries an unresponsive peer.
_UNRESPONSIVE_PEER_PROBABILITY = 0.25
_MAX_LIST_AGE_MS = 1500.0
_EXCHANGE_TIMEOUT_MS = 1000


class Directory:
    """Reads the instance list and exchanges heartbeats with peers.

    Args:
        source: The instance list.
        view: Live membership of the cell.
        peer_client: Client for calls to other instances.
        clock: Source of time.
        metrics: Receives the counters.
        rng: Source of randomness for the choice of peers.
        on_change: Called after the list has changed.
    """

    def __init__(
        self,
        source: membership.ListSource,
        view: membership.MembershipView,
        peer_client: peers.PeerClient,
        clock: base.Clock,
        metrics: observe.Metrics,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self.source = source
        self.view = view
        self.peer_client = peer_client
        self.clock = clock
        self.metrics = metrics
        self.rng = rng
        self.on_change = on_change
        self.loaded = False
        self.entries: dict[str, membership.ListEntry] = {}
        # Start of the last read; its end if the list did not answer in time.
        self._last_read_ms = clock.now_ms()
        self._read_lock = semaphore.Semaphore()

    def refresh(self) -> None:
        """Reads the list; keeps the last one if the read fails."""
        with self._read_lock:
            self._read()

    def _read(self) -> None:
        started_ms = self.clock.now_ms()
        try:
            found = self.source.read()
        except base.HollycartError:
            self.metrics.count("list.failed")
            now_ms = self.clock.now_ms()
            # If a read took much longer than its timeout, the process was
            # suspended. The list may then be older than an outage allows.
            suspended = now_ms - started_ms > _MAX_LIST_AGE_MS
            self._last_read_ms = started_ms if suspended else now_ms
            return
        now_ms = self.clock.now_ms()
        # The age counts from the start of the read, because the process may
        # have been suspended between the response and this line.
        self._last_read_ms = started_ms
        if found is not None:
            self.entries = {e.entry_id: e for e in found.entries}
            self.loaded = True
            self.metrics.count("list.changed")
        self.view.apply_list(self.entries.values(), now_ms)
        if found is not None:
            self.peer_client.keep_only(
                {e.peer_address for e in found.entries if e.peer_address}
            )
            self.on_change()

    def refresh_if_stale(self) -> None:
        """Reads the list if the last read is older than `_MAX_LIST_AGE_MS`.

        A process that was suspended must not act on the list that it read
        before.
        """
        if not self._is_stale():
            return
        with self._read_lock:  # concurrent callers wait for one read
            if self._is_stale():
                self.metrics.count("list.stale")
                self._read()

    def _is_stale(self) -> bool:
        return self.clock.now_ms() - self._last_read_ms > _MAX_LIST_AGE_MS

    def exchange(self) -> None:
        """Exchanges heartbeats with a few reachable instances.

        Some exchanges also try an instance without a recent heartbeat, so
        that the two sides of a network partition find each other after it.
        """
        self.view.advance_heartbeat()
        now_ms = self.clock.now_ms()
        reachable_ids = self.view.reachable(now_ms)
        count = min(len(reachable_ids), _EXCHANGE_FANOUT)
        chosen = self.rng.sample(reachable_ids, count)
        unresponsive = self.view.unresponsive(now_ms)
        if unresponsive and self.rng.random() < _UNRESPONSIVE_PEER_PROBABILITY:
            eventlet.spawn_n(self._exchange_with, self.rng.choice(unresponsive))
        for instance_id in chosen:
            self._exchange_with(instance_id)

    def handle_exchange(
        self, message: peers.ExchangeMessage
    ) -> peers.ExchangeMessage:
        """Merges a peer's digests and returns those of the merged view."""
        now_ms = self.clock.now_ms()
        self.view.merge(message.digests, now_ms)
        return self._make_message(now_ms)

    def peer_address(self, instance_id: str) -> str:
        """Returns the peer address of an instance, "" if it is unknown."""
        entry = self.view.entry(instance_id)
        return entry.peer_address if entry else ""

    def peer_alive(self, instance_id: str) -> bool:
        """Returns whether another instance has a recent heartbeat."""
        return instance_id in self.view.reachable(self.clock.now_ms())

    def engines(self, model: str) -> list[membership.ListEntry]:
        """Returns the engines of the cell that serve a model."""
        return [
            e
            for e in self.entries.values()
            if e.kind == membership.KIND_ENGINE
            and e.name == model
            and e.cell == self.view.own_entry.cell
        ]

    def services(self, name: str) -> list[membership.ListEntry]:
        """Returns the endpoints of a service, those of the own cell first."""
        found = [
            e
            for e in self.entries.values()
            if e.kind == membership.KIND_SERVICE and e.name == name
        ]
        return sorted(found, key=lambda e: e.cell != self.view.own_entry.cell)

    def models(self) -> list[str]:
        """Returns the models that engines of the cell serve, sorted."""
        return sorted(
            {
                e.name
                for e in self.entries.values()
                if e.kind == membership.KIND_ENGINE
                and e.cell == self.view.own_entry.cell
            }
        )

    def accepts_work(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint is listed and not leaving.

        Refreshes a stale list first. Call this directly before work is sent.
        """
        self.refresh_if_stale()
        entry = self.entries.get(endpoint_id)
        return entry is not None and not entry.leaving

    def _exchange_with(self, instance_id: str) -> None:
        message = self._make_message(self.clock.now_ms())
        try:
            reply = self.peer_client.call(
                self.peer_address(instance_id),
                peers.EXCHANGE,
                message,
                _EXCHANGE_TIMEOUT_MS,
            )
        except base.PeerUnreachableError:
            self.metrics.count("exchange.failed")
            return
        self.view.merge(reply.digests, self.clock.now_ms())

    def _make_message(self, now_ms: float) -> peers.ExchangeMessage:
        return peers.ExchangeMessage(
            self.view.own_entry.entry_id, tuple(self.view.digests(now_ms))
        )
