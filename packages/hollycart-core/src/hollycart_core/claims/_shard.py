"""Decisions on the claims of one shard; no input or output."""

from collections.abc import Iterable

from hollycart_core import base
from hollycart_core.claims import _records

RETENTION_MS = 24 * 3600 * 1000.0


class ClaimShard:
    """The claims of one shard, folded from its stored records.

    Args:
        retention_ms: How long a settled claim is kept after its call ended.

    Example:
        >>> shard = ClaimShard()
        >>> ask = _records.ClaimRequest("k", "d", "i/x/1", 100.0)
        >>> type(shard.decide(ask, 0.0)).__name__
        'Granted'
    """

    def __init__(self, retention_ms: float = RETENTION_MS) -> None:
        self.retention_ms = retention_ms
        self.records: dict[str, _records.ClaimRecord] = {}

    def apply(self, records: Iterable[_records.ClaimRecord]) -> None:
        """Folds stored records, the oldest first.

        Raises:
            InvariantError: If a record contradicts an outcome already stored.
        """
        for record in records:
            old = self.records.get(record.key)
            self._check_transition(old, record)
            self.records[record.key] = record

    def decide(
        self, req: _records.ClaimRequest, now_ms: float
    ) -> _records.ClaimDecision:
        """Decides who may send a call.

        Args:
            req: The claim.
            now_ms: Wall clock time, in ms.

        Returns:
            A decision; a `Granted` takes effect only once its record has been
            stored by compare-and-swap and applied.
        """
        old = self.records.get(req.key)
        if old is None or self._expired(old, now_ms):
            return _records.Granted(self._new_record(req, now_ms))
        if old.digest != req.digest:
            return _records.KeyReused(old)
        if old.state is _records.ClaimState.CLAIMED:
            if old.attempt_id == req.attempt_id:
                return _records.Granted(old)
            return _records.Pending(old)
        released = old.state is _records.ClaimState.NOT_RUN
        if released and old.attempt_id != req.attempt_id:
            return _records.Granted(self._new_record(req, now_ms))
        return _records.Settled(old)

    def settle(
        self, req: _records.SettleRequest
    ) -> _records.ClaimRecord | None:
        """Returns the record that an outcome makes, or None for no change.

        An outcome is accepted from the attempt that holds the claim. An
        unknown outcome may later become done, never anything else.
        """
        old = self.records.get(req.key)
        if old is None:
            return None
        claimed = old.state is _records.ClaimState.CLAIMED
        unknown = old.state is _records.ClaimState.UNKNOWN
        done = req.state is _records.ClaimState.DONE
        if old.attempt_id != req.attempt_id:
            return None
        if not claimed and not (unknown and done):
            return None
        return old._replace(
            state=req.state,
            status=req.status,
            body=req.body,
            reason=req.reason,
        )

    def live_records(self, now_ms: float) -> list[_records.ClaimRecord]:
        """Returns the records within their retention."""
        return [
            r for r in self.records.values() if not self._expired(r, now_ms)
        ]

    def _new_record(
        self, req: _records.ClaimRequest, now_ms: float
    ) -> _records.ClaimRecord:
        return _records.ClaimRecord(
            req.key,
            req.digest,
            req.attempt_id,
            _records.ClaimState.CLAIMED,
            now_ms,
            req.call_deadline_ms,
        )

    def _expired(self, record: _records.ClaimRecord, now_ms: float) -> bool:
        return now_ms > record.call_deadline_ms + self.retention_ms

    def _check_transition(
        self,
        old: _records.ClaimRecord | None,
        new: _records.ClaimRecord,
    ) -> None:
        if old is None or old.attempt_id == new.attempt_id:
            final = old is not None and old.state is _records.ClaimState.DONE
            base.check_invariant(
                "claim.done_is_final", not final or old == new, new.key
            )
            return
        released = old.state is _records.ClaimState.NOT_RUN
        base.check_invariant(
            "claim.one_holder",
            released or self._expired(old, new.claimed_at_ms),
            f"{new.key}: {old.attempt_id} then {new.attempt_id}",
        )
