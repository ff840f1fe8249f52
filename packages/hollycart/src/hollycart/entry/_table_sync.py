"""Keeps the table in force at this instance up to date."""

import eventlet

from hollycart import observe
from hollycart import peers
from hollycart.entry import _directory
from hollycart_core import base
from hollycart_core import kv
from hollycart_core import table

_WATCHER_COUNT = 2  # instances of a cell that watch the key-value store
_WATCH_TIMEOUT_MS = 60_000
_RETRY_INTERVAL_MS = 500
_PULL_TIMEOUT_MS = 1000


class TableSync:
    """Applies new revisions from the key-value store and from peers.

    Two instances of a cell watch the store. The heartbeats show a new
    revision to the other instances, which fetch the deltas from a peer.

    Args:
        store: The key-value store.
        tables: The stored table.
        table_follower: The table in force.
        directory: Known instances.
        peer_client: Client for calls to other instances.
        clock: Source of time.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        store: kv.KeyValueStore,
        tables: table.TableStore,
        table_follower: table.TableFollower,
        directory: _directory.Directory,
        peer_client: peers.PeerClient,
        clock: base.Clock,
        metrics: observe.Metrics,
    ) -> None:
        self.store = store
        self.tables = tables
        self.table_follower = table_follower
        self.directory = directory
        self.peer_client = peer_client
        self.clock = clock
        self.metrics = metrics
        self.loaded = False
        self._watch_revision = 0

    def load(self) -> bool:
        """Loads the table once at start.

        The key-value store is authoritative. If it does not answer, all
        reachable instances are queried, and at least one must answer.

        Returns:
            Whether a table is in force.
        """
        if self._read_store() or self._pull_from_all():
            self.loaded = True
        return self.loaded

    def watch_once(self) -> None:
        """Waits for a change in the store if this instance is a watcher."""
        if not self._is_watcher():
            self.clock.sleep_ms(_RETRY_INTERVAL_MS)
            return
        try:
            changed = self.store.watch(
                table.PREFIX, self._watch_revision, _WATCH_TIMEOUT_MS
            )
        except base.KvUnavailableError:
            self.metrics.count("table.watch_failed")
            self.clock.sleep_ms(_RETRY_INTERVAL_MS)
            return
        if changed:
            self._apply_stored_deltas()

    def pull_if_behind(self) -> None:
        """Fetches deltas from the reachable peer with the newest revision."""
        revisions = self.directory.view.table_revisions()
        ahead = {
            i: r
            for i, r in revisions.items()
            if r > self.table_follower.current.revision
            and self.directory.peer_alive(i)
        }
        if ahead:
            self._pull(max(ahead, key=lambda i: ahead[i]))

    def handle_query(self, query: peers.TableQuery) -> peers.TableReply:
        """Returns the deltas that a peer lacks, or the full table.

        The full table is sent if some of the deltas are no longer kept.
        """
        current = self.table_follower.current
        deltas = self.table_follower.deltas_since(query.revision)
        if query.revision >= current.revision:
            deltas = []
        if deltas is not None:
            return peers.TableReply(current.revision, tuple(deltas))
        rows = current.rows.values()
        return peers.TableReply(
            current.revision,
            (),
            tuple(r for r in rows if isinstance(r, table.LimitRow)),
            tuple(r for r in rows if isinstance(r, table.TeamRow)),
            is_full_table=True,
        )

    def apply_deltas(self, deltas: list[table.Delta]) -> None:
        """Applies deltas that an operator's command has committed."""
        if not self.table_follower.apply_deltas(deltas):
            self._read_store()

    def _is_watcher(self) -> bool:
        now_ms = self.clock.now_ms()
        view = self.directory.view
        order = base.rendezvous_rank("table-watch", view.live(now_ms))
        return view.own_entry.entry_id in order[:_WATCHER_COUNT]

    def _apply_stored_deltas(self) -> None:
        """Applies new deltas; reads the full table if none can be applied."""
        before = self.table_follower.current.revision
        try:
            found = self.tables.read_deltas(before)
        except base.KvUnavailableError:
            self.metrics.count("table.read_failed")
            return
        self.table_follower.apply_deltas(found.deltas)
        if self.table_follower.current.revision == before:
            self._read_store()
            return
        self._watch_revision = found.store_revision
        self.metrics.count("table.caught_up")

    def _read_store(self) -> bool:
        try:
            stored = self.tables.load()
        except base.KvUnavailableError:
            self.metrics.count("table.read_failed")
            return False
        self._watch_revision = stored.store_revision
        if self.table_follower.apply_if_newer(stored.table):
            self.metrics.count("table.applied")
        return True

    def _pull_from_all(self) -> bool:
        answered = False
        for instance_id in self.directory.view.reachable(self.clock.now_ms()):
            answered = self._pull(instance_id) or answered
            eventlet.sleep(0)
        return answered and self.table_follower.current.revision > 0

    def _pull(self, instance_id: str) -> bool:
        query = peers.TableQuery(self.table_follower.current.revision)
        try:
            reply = self.peer_client.call(
                self.directory.peer_address(instance_id),
                peers.TABLE,
                query,
                _PULL_TIMEOUT_MS,
            )
        except base.PeerUnreachableError:
            return False
        if reply.is_full_table:
            rows = (*reply.limits, *reply.teams)
            self.table_follower.apply_if_newer(
                table.Table.build(reply.revision, rows)
            )
        else:
            self.table_follower.apply_deltas(reply.deltas)
        self.metrics.count("table.pulled")
        return True
