"""Decides the claims of one shard in memory, without input or output."""

from collections.abc import Iterable

from hollycart_core import base
from hollycart_core.claims import _records

RETENTION_MS = 24 * 3600 * 1000.0


class ClaimShard:
    """The claims of one shard, rebuilt by replaying its stored records.

    Args:
        retention_ms: Time for which a claim is kept after the deadline of its
            call, in ms.

    Example:
        >>> shard = ClaimShard()
        >>> req = _records.ClaimRequest("k", "d", "i/x/1", 100.0)
        >>> type(shard.decide(req, 0.0)).__name__
        'Granted'
    """

    def __init__(self, retention_ms: float = RETENTION_MS) -> None:
        self.retention_ms = retention_ms
        self.records: dict[str, _records.ClaimRecord] = {}

    def apply(self, records: Iterable[_records.ClaimRecord]) -> None:
        """Replays stored records, the oldest first.

        Raises:
            InvariantError: If a record changes a done outcome, or replaces
                the record of another attempt that is neither released nor
                expired.
        """
        for record in records:
            current = self.records.get(record.key)
            self._check_transition(current, record)
            self.records[record.key] = record

    def decide(
        self, req: _records.ClaimRequest, now_ms: float
    ) -> _records.ClaimDecision:
        """Decides whether an attempt may send a call.

        Args:
            req: The claim request.
            now_ms: Wall clock time, in ms.

        Returns:
            The decision. A `Granted` takes effect only after its record has
            been stored by compare-and-swap and applied.
        """
        current = self.records.get(req.key)
        if current is None or self._expired(current, now_ms):
            return _records.Granted(self._new_record(req, now_ms))
        if current.digest != req.digest:
            return _records.KeyReused(current)
        if current.state is _records.ClaimState.CLAIMED:
            if current.attempt_id == req.attempt_id:
                return _records.Granted(current)
            return _records.Pending(current)
        released = current.state is _records.ClaimState.NOT_RUN
        if released and current.attempt_id != req.attempt_id:
            return _records.Granted(self._new_record(req, now_ms))
        return _records.Settled(current)

    def settle(
        self, req: _records.SettleRequest
    ) -> _records.ClaimRecord | None:
        """Returns the record with the outcome, or None if nothing changes.

        An outcome is accepted only from the attempt that holds the claim. An
        unknown outcome may change to done and to nothing else.
        """
        current = self.records.get(req.key)
        if current is None:
            return None
        claimed = current.state is _records.ClaimState.CLAIMED
        unknown = current.state is _records.ClaimState.UNKNOWN
        done = req.state is _records.ClaimState.DONE
        if current.attempt_id != req.attempt_id:
            return None
        if not claimed and not (unknown and done):
            return None
        return current._replace(
            state=req.state,
            status=req.status,
            body=req.body,
            reason=req.reason,
        )

    def live_records(self, now_ms: float) -> list[_records.ClaimRecord]:
        """Returns the records whose retention time has not passed."""
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
        current: _records.ClaimRecord | None,
        new: _records.ClaimRecord,
    ) -> None:
        if current is None or current.attempt_id == new.attempt_id:
            final = (
                current is not None
                and current.state is _records.ClaimState.DONE
            )
            base.check_invariant(
                "claim.done_is_final", not final or current == new, new.key
            )
            return
        released = current.state is _records.ClaimState.NOT_RUN
        base.check_invariant(
            "claim.one_holder",
            released or self._expired(current, new.claimed_at_ms),
            f"{new.key}: {current.attempt_id} then {new.attempt_id}",
        )
