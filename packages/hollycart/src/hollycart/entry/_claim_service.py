"""Claims on non-idempotent calls: client and owner of a shard."""

import functools

import eventlet
import result

from hollycart import observe
from hollycart import peers
from hollycart.entry import _directory
from hollycart_core import base
from hollycart_core import claims
from hollycart_core import kv

_CALL_TIMEOUT_MS = 4_000
_MAX_OWNERS = 3  # instances that are tried as owner of a shard
_SETTLE_RETRY_INTERVAL_MS = 500.0
_MAX_SETTLE_RETRIES = 2_400  # over twenty minutes
_DECISIONS = {
    claims.Granted: "granted",
    claims.Settled: "settled",
    claims.Pending: "pending",
    claims.KeyReused: "reused",
}


class ClaimService:
    """Routes claims and outcomes to the owner of their shard.

    Args:
        store: The key-value store.
        directory: Known instances.
        peer_client: Client for calls to other instances.
        clock: Source of time.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        store: kv.KeyValueStore,
        directory: _directory.Directory,
        peer_client: peers.PeerClient,
        clock: base.Clock,
        metrics: observe.Metrics,
    ) -> None:
        self.store = store
        self.directory = directory
        self.peer_client = peer_client
        self.clock = clock
        self.metrics = metrics
        self.unsettled = 0
        self._ledgers: dict[int, claims.ClaimLedger] = {}

    def claim(self, req: claims.ClaimRequest) -> peers.ClaimReply:
        """Claims the right to send a call.

        Returns:
            The decision. With an error code as decision the attempt must not
            send: no claim is stored, or the stored claim will be released.
        """
        return self._call_owner(req.key, peers.ClaimMessage(claim=req))

    def settle(self, req: claims.SettleRequest) -> None:
        """Stores an outcome; retries in the background if that fails."""
        if not self._settle_once(req):
            self.unsettled += 1
            eventlet.spawn_n(self._retry_settle, req)

    def handle_claim(self, message: peers.ClaimMessage) -> peers.ClaimReply:
        """Decides a claim or stores an outcome as the owner of the shard."""
        req = message.claim or message.settle
        if req is None:
            raise base.InvalidRequestError("empty claim message")
        commit_result = self._ledger(claims.shard_of(req.key)).submit(req)
        if isinstance(commit_result, result.Err):
            exc = commit_result.err_value
            self.metrics.count(f"claim.{exc.code}")
            return peers.ClaimReply(exc.code, None, 2_000.0)
        decision = commit_result.ok_value
        if decision is None:
            return peers.ClaimReply("stored")
        name = _DECISIONS[type(decision)]
        self.metrics.count(f"claim.{name}")
        return peers.ClaimReply(name, decision.record)

    def _ledger(self, shard_id: int) -> claims.ClaimLedger:
        if shard_id not in self._ledgers:
            self._ledgers[shard_id] = claims.ClaimLedger(
                self.store, shard_id, self.clock
            )
        return self._ledgers[shard_id]

    def _call_owner(
        self, key: str, message: peers.ClaimMessage
    ) -> peers.ClaimReply:
        """Calls the owner of the key's shard.

        If an owner cannot be reached, the next one is called, and finally
        this instance decides. Two instances may decide for the same shard,
        because each commit compares the shard's head in the store.
        """
        now_ms = self.clock.now_ms()
        view = self.directory.view
        owners = view.owners(f"claims/{claims.shard_of(key)}", now_ms)
        for owner_id in [*owners[:_MAX_OWNERS], view.own_entry.entry_id]:
            if owner_id == view.own_entry.entry_id:
                return self.handle_claim(message)
            try:
                return self.peer_client.call(
                    self.directory.peer_address(owner_id),
                    peers.CLAIM,
                    message,
                    _CALL_TIMEOUT_MS,
                    functools.partial(self.directory.peer_alive, owner_id),
                )
            except base.PeerUnreachableError:
                view.suspect(owner_id, self.clock.now_ms())
                self.metrics.count("claim.owner_unreachable")
        return self.handle_claim(message)

    def _settle_once(self, req: claims.SettleRequest) -> bool:
        reply = self._call_owner(req.key, peers.ClaimMessage(settle=req))
        return reply.decision == "stored"

    def _retry_settle(self, req: claims.SettleRequest) -> None:
        for _ in range(_MAX_SETTLE_RETRIES):
            self.clock.sleep_ms(_SETTLE_RETRY_INTERVAL_MS)
            if self._settle_once(req):
                break
        self.unsettled -= 1
