"""What this instance knows of instances and endpoints."""

from collections.abc import Callable
import random

import eventlet
from eventlet import semaphore

from hollycart import observe
from hollycart import peers
from hollycart_core import base
from hollycart_core import membership

_EXCHANGE_FANOUT = 2
_SILENT_SHARE = 0.25  # of the exchanges
_STALE_MS = 1500.0
_EXCHANGE_TIMEOUT_MS = 1000


class Directory:
    """Reads the platform's list and exchanges heartbeats with peers.

    Args:
        source: The platform's list.
        view: Live membership of the cell.
        peer_client: Calls other instances.
        clock: Source of time.
        metrics: Counters.
        rng: Chooses whom to exchange with.
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
        self._last_read_ms = clock.now_ms()
        self._reading = semaphore.Semaphore()

    def refresh(self) -> None:
        """Reads the list; the last known one stays if it does not answer."""
        with self._reading:
            self._read()

    def _read(self) -> None:
        began_ms = self.clock.now_ms()
        try:
            found = self.source.read()
        except base.HollycartError:
            self.metrics.count("list.failed")
            now_ms = self.clock.now_ms()
            # A read that took longer than its timeout was paused: what is
            # known may be older than any outage allows.
            paused = now_ms - began_ms > _STALE_MS
            self._last_read_ms = began_ms if paused else now_ms
            return
        now_ms = self.clock.now_ms()
        # The answer may have waited here while the process was paused.
        self._last_read_ms = began_ms
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
        """Reads the list if the last try is old.

        A process that was paused must not act on what it knew before.
        """
        if not self._is_stale():
            return
        with self._reading:  # others wait for the one that reads
            if self._is_stale():
                self.metrics.count("list.stale")
                self._read()

    def _is_stale(self) -> bool:
        return self.clock.now_ms() - self._last_read_ms > _STALE_MS

    def exchange(self) -> None:
        """Exchanges heartbeats with a few other instances.

        Now and then a silent one is tried too, so that two parts that were
        cut from each other join again.
        """
        self.view.advance_heartbeat()
        now_ms = self.clock.now_ms()
        others = self.view.reachable(now_ms)
        count = min(len(others), _EXCHANGE_FANOUT)
        chosen = self.rng.sample(others, count)
        silent = self.view.silent(now_ms)
        if silent and self.rng.random() < _SILENT_SHARE:
            eventlet.spawn_n(self._exchange_with, self.rng.choice(silent))
        for instance_id in chosen:
            self._exchange_with(instance_id)

    def handle_exchange(
        self, message: peers.ExchangeMessage
    ) -> peers.ExchangeMessage:
        """Answers an exchange."""
        now_ms = self.clock.now_ms()
        self.view.merge(message.digests, now_ms)
        return self._message(now_ms)

    def peer_address(self, instance_id: str) -> str:
        """Returns the address of an instance, or an empty text."""
        entry = self.view.entry(instance_id)
        return entry.peer_address if entry else ""

    def peer_alive(self, instance_id: str) -> bool:
        """Returns whether another instance was heard of lately."""
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
        """Returns the endpoints of a plain service, near ones first."""
        found = [
            e
            for e in self.entries.values()
            if e.kind == membership.KIND_SERVICE and e.name == name
        ]
        return sorted(found, key=lambda e: e.cell != self.view.own_entry.cell)

    def models(self) -> list[str]:
        """Returns the names of all models of the cell."""
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

        To be asked just before work is sent.
        """
        self.refresh_if_stale()
        entry = self.entries.get(endpoint_id)
        return entry is not None and not entry.leaving

    def _exchange_with(self, instance_id: str) -> None:
        message = self._message(self.clock.now_ms())
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

    def _message(self, now_ms: float) -> peers.ExchangeMessage:
        return peers.ExchangeMessage(
            self.view.own_entry.entry_id, tuple(self.view.digests(now_ms))
        )
