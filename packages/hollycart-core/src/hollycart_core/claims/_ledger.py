"""Group commit of claims and outcomes by the owner of a shard."""

import collections
from typing import NamedTuple
from typing import TypeAlias

import eventlet
from eventlet import event
import result
import xxhash

from hollycart_core import base
from hollycart_core import kv
from hollycart_core.claims import _log
from hollycart_core.claims import _records
from hollycart_core.claims import _shard

SHARDS = 16
COMMIT_INTERVAL_MS = 80.0  # 16 shards at this interval make 200 writes/s
REFRESH_INTERVAL_MS = 500.0
_MAX_DEFERRED_SETTLES = 10_000
_MAX_COMMIT_TRIES = 8

Request: TypeAlias = _records.ClaimRequest | _records.SettleRequest
SubmitResult: TypeAlias = result.Result[
    _records.ClaimDecision | None, base.HollycartError
]


def shard_of(key: str) -> int:
    """Returns the shard of an idempotency key."""
    return xxhash.xxh64_intdigest(key.encode()) % SHARDS


class _WaitingRequest(NamedTuple):
    """A queued request and the event that delivers its result."""

    req: Request
    done: event.Event


class ClaimLedger:
    """Decides and stores the claims of one shard.

    Any number of instances may run a ledger for the same shard. The
    compare-and-swap on the shard's head lets one writer commit at a time. A
    writer whose commit fails loads the shard again.

    Args:
        store: The key-value store.
        shard_id: Number of the shard.
        clock: Source of time.
        commit_interval_ms: Minimum time between two commits, in ms.
    """

    def __init__(
        self,
        store: kv.KeyValueStore,
        shard_id: int,
        clock: base.Clock,
        commit_interval_ms: float = COMMIT_INTERVAL_MS,
    ) -> None:
        self.store = store
        self.shard_id = shard_id
        self.clock = clock
        self.commit_interval_ms = commit_interval_ms
        self._log = _log.ClaimLog(store, shard_id)
        self._shard: _shard.ClaimShard | None = None
        self._loaded_ms = 0.0
        self._last_commit_ms = -commit_interval_ms
        self._queue: list[_WaitingRequest] = []
        self._drain_running = False
        self._deferred_settles: collections.deque[_records.SettleRequest] = (
            collections.deque(maxlen=_MAX_DEFERRED_SETTLES)
        )

    def submit(self, req: Request) -> SubmitResult:
        """Decides a claim or stores an outcome, and waits for the commit.

        Args:
            req: A claim or an outcome.

        Returns:
            Ok with the decision for a claim and None for an outcome. Err with
            `KvUnavailableError` or `StoreFullError` if the commit failed.
            After an Err for a claim the attempt must not send. If the
            claim was stored nevertheless, a later commit releases it.
        """
        waiting = _WaitingRequest(req, event.Event())
        self._queue.append(waiting)
        if not self._drain_running:
            self._drain_running = True
            eventlet.spawn(self._drain)
        return waiting.done.wait()

    def decide_batch(
        self, reqs: list[Request]
    ) -> list[_records.ClaimDecision | None]:
        """Decides requests and stores what they change in one transaction.

        Args:
            reqs: Claims and outcomes, in order.

        Returns:
            A decision for each claim and None for each outcome.

        Raises:
            KvUnavailableError: If the store does not answer or other writers
                win every commit. A claim may be stored nevertheless, but its
                attempt must not send.
            StoreFullError: If the shard is full; nothing was stored.
        """
        for _ in range(_MAX_COMMIT_TRIES):
            shard = self._current_shard()
            decisions, records, updated_shard = self._decide(shard, reqs)
            if not records:
                return decisions
            self._last_commit_ms = self.clock.now_ms()
            try:
                stored = self._log.append(records, shard, self.clock.wall_ms())
            except base.KvAnswerLostError:
                stored = False
            if stored:
                self._shard = updated_shard
                return decisions
            self._shard = None
        raise base.KvUnavailableError(
            f"claim shard {self.shard_id}: no commit in {_MAX_COMMIT_TRIES} "
            "tries"
        )

    def _drain(self) -> None:
        """Commits queued requests in batches until the queue is empty."""
        try:
            while self._queue:
                next_commit_ms = self._last_commit_ms + self.commit_interval_ms
                self.clock.sleep_ms(
                    max(0.0, next_commit_ms - self.clock.now_ms())
                )
                batch, self._queue = self._queue, []
                self._commit(batch)
        finally:
            self._drain_running = False

    def _commit(self, batch: list[_WaitingRequest]) -> None:
        reqs: list[Request] = [*self._deferred_settles, *(w.req for w in batch)]
        deferred = list(self._deferred_settles)
        self._deferred_settles.clear()
        try:
            decisions = self.decide_batch(reqs)
        except base.HollycartError as exc:
            self._shard = None
            self._deferred_settles.extend(deferred)
            self._fail_batch(batch, exc)
            return
        for waiting, claim_decision in zip(
            batch, decisions[len(deferred) :], strict=True
        ):
            waiting.done.send(result.Ok(claim_decision))

    def _fail_batch(
        self, batch: list[_WaitingRequest], exc: base.HollycartError
    ) -> None:
        for waiting in batch:
            if isinstance(waiting.req, _records.ClaimRequest):
                self._deferred_settles.append(self._make_release(waiting.req))
            waiting.done.send(result.Err(exc))

    def _make_release(
        self, req: _records.ClaimRequest
    ) -> _records.SettleRequest:
        """Returns the release of a failed claim that may be stored."""
        return _records.SettleRequest(
            req.key,
            req.attempt_id,
            _records.ClaimState.NOT_RUN,
            reason="kv_unavailable",
        )

    def _decide(
        self, shard: _shard.ClaimShard, reqs: list[Request]
    ) -> tuple[
        list[_records.ClaimDecision | None],
        list[_records.ClaimRecord],
        _shard.ClaimShard,
    ]:
        now_ms = self.clock.wall_ms()
        updated_shard = _shard.ClaimShard(shard.retention_ms)
        updated_shard.records = dict(shard.records)
        decisions: list[_records.ClaimDecision | None] = []
        records: list[_records.ClaimRecord] = []
        for req in reqs:
            claim_decision, record = self._decide_one(
                updated_shard, req, now_ms
            )
            decisions.append(claim_decision)
            if (
                record is not None
                and updated_shard.records.get(req.key) != record
            ):
                updated_shard.apply([record])
                records.append(record)
        return decisions, records, updated_shard

    def _decide_one(
        self, updated_shard: _shard.ClaimShard, req: Request, now_ms: float
    ) -> tuple[_records.ClaimDecision | None, _records.ClaimRecord | None]:
        if isinstance(req, _records.SettleRequest):
            return None, updated_shard.settle(req)
        decision = updated_shard.decide(req, now_ms)
        if isinstance(decision, _records.Granted):
            return decision, decision.record
        return decision, None

    def _current_shard(self) -> _shard.ClaimShard:
        """Returns the shard, loaded at most `REFRESH_INTERVAL_MS` ago."""
        age_ms = self.clock.now_ms() - self._loaded_ms
        if self._shard is None or age_ms > REFRESH_INTERVAL_MS:
            self._shard = self._reload()
        return self._shard

    def _reload(self) -> _shard.ClaimShard:
        shard = self._log.load()
        self._loaded_ms = self.clock.now_ms()
        return shard
