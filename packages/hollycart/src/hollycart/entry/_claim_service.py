"""Claims on non-idempotent calls: both sides between instances."""

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
_MAX_OWNERS = 3
_SETTLE_RETRY_MS = 500.0
_SETTLE_TRIES = 2_400  # twenty minutes
_DECISIONS = {
    claims.Granted: "granted",
    claims.Settled: "settled",
    claims.Pending: "pending",
    claims.KeyReused: "reused",
}


class ClaimService:
    """Routes claims to the owner of their shard.

    Args:
        store: The key-value service.
        directory: Instances.
        peer_client: Calls other instances.
        clock: Source of time.
        metrics: Counters.
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
        """Asks for the right to send a call.

        Returns:
            The decision. An error code means that nothing is stored or that
            what is stored will be released; the attempt must not send.
        """
        return self._ask(req.key, peers.ClaimMessage(claim=req))

    def settle(self, req: claims.SettleRequest) -> None:
        """Stores an outcome; repeats in the background until it is stored."""
        if not self._settle_once(req):
            self.unsettled += 1
            eventlet.spawn_n(self._settle_later, req)

    def handle_claim(self, message: peers.ClaimMessage) -> peers.ClaimReply:
        """Decides as the owner of the shard."""
        req = message.claim or message.settle
        if req is None:
            raise base.InvalidRequestError("empty claim message")
        answer = self._ledger(claims.shard_of(req.key)).submit(req)
        if isinstance(answer, result.Err):
            exc = answer.err_value
            self.metrics.count(f"claim.{exc.code}")
            return peers.ClaimReply(exc.code, None, 2_000.0)
        decision = answer.ok_value
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

    def _ask(self, key: str, message: peers.ClaimMessage) -> peers.ClaimReply:
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
        reply = self._ask(req.key, peers.ClaimMessage(settle=req))
        return reply.decision == "stored"

    def _settle_later(self, req: claims.SettleRequest) -> None:
        for _ in range(_SETTLE_TRIES):
            self.clock.sleep_ms(_SETTLE_RETRY_MS)
            if self._settle_once(req):
                break
        self.unsettled -= 1
