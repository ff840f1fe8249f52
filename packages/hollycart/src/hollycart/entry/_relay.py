"""Relays one answer from engines to a caller, across attempts."""

from collections.abc import Iterator
from typing import NamedTuple

import eventlet

from hollycart import endpoints
from hollycart import observe
from hollycart.entry import _directory
from hollycart.entry import _permit_client
from hollycart.entry import _request
from hollycart.entry import _retry_budget
from hollycart_core import base
from hollycart_core import scheduling
from hollycart_core import streams

_MAX_ATTEMPTS = 6
_STALL_MS = 3_000.0
_BACK_OFF_MS = 100.0


class Piece(NamedTuple):
    """Tokens that may be passed to the caller.

    Attributes:
        text: The tokens' text.
        finish_reason: Why the answer ended; empty before the end.
        prompt_tokens: Length of the prompt as the engine counts it.
        completion_tokens: Tokens passed on so far.
        cached_tokens: Prompt tokens found in the prefix cache.
    """

    text: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class RelayServices(NamedTuple):
    """What a relay works with."""

    directory: _directory.Directory
    permits: _permit_client.PermitClient
    engine_client: endpoints.EngineClient
    attempt_ids: base.AttemptIdGenerator
    budget: _retry_budget.RetryBudget
    clock: base.Clock
    metrics: observe.Metrics


class Relay:
    """Makes attempts at one request until its answer is complete.

    A broken attempt is continued at the next token on another engine while
    the deadline and the retry budget allow.

    Args:
        services: What the relay works with.
        req: The request.
        ask: Permit request without attempt id; `excluded` grows.
        deadline: Latest instant of the final answer.
    """

    def __init__(
        self,
        services: RelayServices,
        req: _request.CompletionRequest,
        ask: scheduling.PermitRequest,
        deadline: base.Deadline,
    ) -> None:
        self.services = services
        self.req = req
        self.ask = ask
        self.deadline = deadline
        self._assembler = streams.StreamAssembler()
        self._reason = ""
        self._failed_id = ""

    def pieces(self) -> Iterator[Piece]:
        """Yields the answer in order, each token once.

        Raises:
            HollycartError: Typed by why the answer cannot be completed.
        """
        self.services.budget.record_request()
        for attempt in range(_MAX_ATTEMPTS):
            try:
                yield from self._attempt()
                return
            except base.DeadlineExceededError:
                raise
            except base.EndpointFailedError as exc:
                self.services.metrics.count(f"attempt.{exc.code}")
                if self.deadline.expired(self.services.clock):
                    raise base.DeadlineExceededError("last attempt") from exc
                last = attempt == _MAX_ATTEMPTS - 1
                if last or not self.services.budget.take():
                    raise
                self.services.metrics.count("attempt.repeated")
                self._back_off(attempt)

    def _back_off(self, attempt: int) -> None:
        """Repeats once at once, then at growing intervals."""
        if attempt == 0:
            return
        left_ms = self.deadline.remaining_ms(self.services.clock)
        pause_ms = _BACK_OFF_MS * 2**attempt
        self.services.clock.sleep_ms(min(pause_ms, left_ms / 2))

    def _attempt(self) -> Iterator[Piece]:
        attempt_id = self.services.attempt_ids.next_id()
        ask = self.ask._replace(permit_id=attempt_id)
        held = self.services.permits.acquire(self.req.model, ask, self.deadline)
        sent: list[str] = []
        complete = False
        try:
            self._check_not_leaving(held)
            self._reserve_shares(held, attempt_id, sent)
            sent.append(held.addresses[0])
            yield from self._stream(held, attempt_id)
            complete = True
        except base.EndpointFailedError:
            self._exclude(held)
            raise
        finally:
            self._end(held, attempt_id, sent, complete)

    def _stream(
        self, held: _permit_client.HeldPermit, attempt_id: str
    ) -> Iterator[Piece]:
        services = self.services
        body = self.req.engine_body(
            attempt_id,
            held.permit.engine_priority,
            self._assembler.next_offset,
            list(held.addresses[1:]),
        )
        self._assembler.begin_attempt(attempt_id)
        stream = services.engine_client.open_stream(
            held.addresses[0],
            self.req.path,
            body,
            self.deadline.remaining_ms(services.clock),
        )
        first = True
        try:
            for frame in stream.frames(
                _STALL_MS, lambda: self._still_held(held, attempt_id)
            ):
                if first:
                    first = False
                    services.permits.mark_first_token(
                        self.req.model, attempt_id, frame.cached_tokens
                    )
                yield from self._accept(frame)
                if self._assembler.finished:
                    break
        finally:
            if self._assembler.finished:
                stream.release_connection()
            else:
                stream.close()
        if self._assembler.finished:
            return
        raise base.EndpointFailedError("stream ended early")

    def _accept(self, frame: endpoints.EngineFrame) -> Iterator[Piece]:
        assembler = self._assembler
        dropped = assembler.dropped
        tokens = assembler.accept(frame.frame)
        if assembler.dropped > dropped:
            self.services.metrics.count("stream.frames_dropped")
        if frame.finish_reason:
            self._reason = frame.finish_reason
        if not tokens:
            return
        yield Piece(
            "".join(tokens),
            self._reason if assembler.finished else "",
            frame.prompt_tokens,
            assembler.next_offset,
            frame.cached_tokens,
        )

    def _still_held(
        self, held: _permit_client.HeldPermit, attempt_id: str
    ) -> bool:
        """Asks a silent engine whether it still works on the attempt."""
        try:
            state = self.services.engine_client.read_report(
                held.permit.endpoint_ids[0], held.addresses[0]
            )
        except base.HollycartError:
            return False
        return any(h.attempt_id == attempt_id for h in state.held)

    def _check_not_leaving(self, held: _permit_client.HeldPermit) -> None:
        for endpoint_id in held.permit.endpoint_ids:
            if not self.services.directory.accepts_work(endpoint_id):
                raise base.EndpointUnreachableError(f"{endpoint_id} leaving")

    def _reserve_shares(
        self,
        held: _permit_client.HeldPermit,
        attempt_id: str,
        sent: list[str],
    ) -> None:
        """Reserves all shares of a large prompt in one order, or fails."""
        count = len(held.addresses)
        if count == 1:
            return
        share = -(-self.ask.memory_tokens // count)
        pairs = zip(held.permit.endpoint_ids, held.addresses, strict=True)
        for endpoint_id, address in list(pairs)[1:]:
            sent.append(address)
            if not self.services.engine_client.reserve(
                address, attempt_id, share
            ):
                self._failed_id = endpoint_id
                raise base.EndpointUnreachableError("no memory for a share")

    def _exclude(self, held: _permit_client.HeldPermit) -> None:
        failed = (self._failed_id or held.permit.endpoint_ids[0],)
        self._failed_id = ""
        self.ask = self.ask._replace(
            excluded=(*self.ask.excluded, *failed)[-4:], resumed=True
        )

    def _end(
        self,
        held: _permit_client.HeldPermit,
        attempt_id: str,
        sent: list[str],
        complete: bool,
    ) -> None:
        self.services.permits.release(self.req.model, attempt_id)
        if complete and len(sent) == 1:
            return
        for address in sent:
            eventlet.spawn_n(self._cancel, address, attempt_id)

    def _cancel(self, address: str, attempt_id: str) -> None:
        """Runs beside the answer, which must not wait for a slow engine."""
        try:
            self.services.engine_client.cancel(address, attempt_id)
        except base.HollycartError:
            self.services.metrics.count("attempt.cancel_failed")
