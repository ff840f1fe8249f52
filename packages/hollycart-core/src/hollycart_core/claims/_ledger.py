"""Group commit of claims and outcomes at a shard's owner."""

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
_MAX_LATER = 10_000  # outcomes
_MAX_COMMIT_TRIES = 8

Request: TypeAlias = _records.ClaimRequest | _records.SettleRequest
Answer: TypeAlias = result.Result[
    _records.ClaimDecision | None, base.HollycartError
]


def shard_of(key: str) -> int:
    """Returns the shard of an idempotency key."""
    return xxhash.xxh64_intdigest(key.encode()) % SHARDS


class _Waiting(NamedTuple):
    req: Request
    done: event.Event


class ClaimLedger:
    """Decides and stores the claims of one shard.

    Any number of instances may run a ledger for the same shard: the
    compare-and-swap on the shard's head admits one writer at a time and a
    writer that lost loads the shard again.

    Args:
        store: The key-value service.
        shard_id: Number of the shard.
        clock: Source of time.
        commit_interval_ms: Least time between two commits, in ms.
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
        self._committed_ms = -commit_interval_ms
        self._queue: list[_Waiting] = []
        self._running = False
        self._later: collections.deque[_records.SettleRequest] = (
            collections.deque(maxlen=_MAX_LATER)
        )

    def submit(self, req: Request) -> Answer:
        """Decides a claim or stores an outcome.

        Args:
            req: A claim or an outcome.

        Returns:
            Ok with the decision for a claim and None for an outcome; Err with
            `KvUnavailableError` or `StoreFullError` if nothing will be stored.
            After an Err for a claim the attempt must not send.
        """
        waiting = _Waiting(req, event.Event())
        self._queue.append(waiting)
        if not self._running:
            self._running = True
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
            KvUnavailableError: If the service does not answer or the shard
                stays contended; a claim may be stored all the same, and its
                attempt must not send.
            StoreFullError: If the shard is full; nothing was stored.
        """
        for _ in range(_MAX_COMMIT_TRIES):
            shard = self._fresh_shard()
            answers, records, trial = self._decide(shard, reqs)
            if not records:
                return answers
            self._committed_ms = self.clock.now_ms()
            try:
                stored = self._log.append(records, shard, self.clock.wall_ms())
            except base.KvAnswerLostError:
                stored = False
            if stored:
                self._shard = trial
                return answers
            self._shard = None
        raise base.KvUnavailableError("claim shard is contended")

    def _drain(self) -> None:
        try:
            while self._queue:
                due_ms = self._committed_ms + self.commit_interval_ms
                self.clock.sleep_ms(max(0.0, due_ms - self.clock.now_ms()))
                batch, self._queue = self._queue, []
                self._commit(batch)
        finally:
            self._running = False

    def _commit(self, batch: list[_Waiting]) -> None:
        reqs: list[Request] = [*self._later, *(w.req for w in batch)]
        kept_later = list(self._later)
        self._later.clear()
        try:
            answers = self.decide_batch(reqs)
        except base.HollycartError as exc:
            self._shard = None
            self._later.extend(kept_later)
            self._fail(batch, exc)
            return
        for waiting, answer in zip(
            batch, answers[len(kept_later) :], strict=True
        ):
            waiting.done.send(result.Ok(answer))

    def _fail(self, batch: list[_Waiting], exc: base.HollycartError) -> None:
        for waiting in batch:
            if isinstance(waiting.req, _records.ClaimRequest):
                self._later.append(self._release(waiting.req))
            waiting.done.send(result.Err(exc))

    def _release(self, req: _records.ClaimRequest) -> _records.SettleRequest:
        """Releases a refused claim that may have been stored all the same."""
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
        trial = _shard.ClaimShard(shard.retention_ms)
        trial.records = dict(shard.records)
        answers: list[_records.ClaimDecision | None] = []
        records: list[_records.ClaimRecord] = []
        for req in reqs:
            answer, record = self._decide_one(trial, req, now_ms)
            answers.append(answer)
            if record is not None and trial.records.get(req.key) != record:
                trial.apply([record])
                records.append(record)
        return answers, records, trial

    def _decide_one(
        self, trial: _shard.ClaimShard, req: Request, now_ms: float
    ) -> tuple[_records.ClaimDecision | None, _records.ClaimRecord | None]:
        if isinstance(req, _records.SettleRequest):
            return None, trial.settle(req)
        decision = trial.decide(req, now_ms)
        if isinstance(decision, _records.Granted):
            return decision, decision.record
        return decision, None

    def _fresh_shard(self) -> _shard.ClaimShard:
        age_ms = self.clock.now_ms() - self._loaded_ms
        if self._shard is None or age_ms > REFRESH_INTERVAL_MS:
            self._shard = self._reload()
        return self._shard

    def _reload(self) -> _shard.ClaimShard:
        shard = self._log.load()
        self._loaded_ms = self.clock.now_ms()
        return shard
