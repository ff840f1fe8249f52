"""Relays the answer to one request from engines to the caller."""

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
_STALL_TIMEOUT_MS = 3_000.0
_INITIAL_BACKOFF_MS = 100.0


class Piece(NamedTuple):
    """Consecutive tokens of an answer, ready for the caller.

    Attributes:
        text: The tokens' text.
        finish_reason: Why the answer ended; empty unless this piece is last.
        prompt_tokens: Length of the prompt as the engine counts it.
        completion_tokens: Tokens of the answer up to this piece.
        cached_tokens: Prompt tokens found in the prefix cache.
    """

    text: str
    finish_reason: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int


class RelayServices(NamedTuple):
    """Dependencies of a relay."""

    directory: _directory.Directory
    permits: _permit_client.PermitClient
    engine_client: endpoints.EngineClient
    attempt_ids: base.AttemptIdGenerator
    budget: _retry_budget.RetryBudget
    clock: base.Clock
    metrics: observe.Metrics


class Relay:
    """Makes attempts at one request until its answer is complete.

    After a failed attempt, another engine resumes at the next token while the
    deadline and the retry budget allow.

    Args:
        services: Dependencies of the relay.
        req: The request.
        permit_request: Permit request without an attempt id. Engines that
            failed an attempt are added to `excluded`.
        deadline: Instant by which the answer must be complete.
    """

    def __init__(
        self,
        services: RelayServices,
        req: _request.CompletionRequest,
        permit_request: scheduling.PermitRequest,
        deadline: base.Deadline,
    ) -> None:
        self.services = services
        self.req = req
        self.permit_request = permit_request
        self.deadline = deadline
        self._assembler = streams.StreamAssembler()
        self._finish_reason = ""
        self._failed_endpoint_id = ""

    def pieces(self) -> Iterator[Piece]:
        """Yields the answer in order, each token exactly once.

        Raises:
            HollycartError: If the answer cannot be completed; its type says
                why.
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
                self._wait_before_retry(attempt)

    def _wait_before_retry(self, attempt: int) -> None:
        """Waits with exponential backoff; the first retry is immediate."""
        if attempt == 0:
            return
        left_ms = self.deadline.remaining_ms(self.services.clock)
        backoff_ms = _INITIAL_BACKOFF_MS * 2**attempt
        self.services.clock.sleep_ms(min(backoff_ms, left_ms / 2))

    def _attempt(self) -> Iterator[Piece]:
        attempt_id = self.services.attempt_ids.next_id()
        permit_request = self.permit_request._replace(permit_id=attempt_id)
        held = self.services.permits.acquire(
            self.req.model, permit_request, self.deadline
        )
        contacted: list[str] = []
        complete = False
        try:
            self._check_endpoints_accept_work(held)
            self._reserve_shares(held, attempt_id, contacted)
            contacted.append(held.addresses[0])
            yield from self._stream(held, attempt_id)
            complete = True
        except base.EndpointFailedError:
            self._exclude_failed_endpoint(held)
            raise
        finally:
            self._end_attempt(held, attempt_id, contacted, complete)

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
                _STALL_TIMEOUT_MS,
                lambda: self._engine_holds_attempt(held, attempt_id),
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
            self._finish_reason = frame.finish_reason
        if not tokens:
            return
        yield Piece(
            "".join(tokens),
            self._finish_reason if assembler.finished else "",
            frame.prompt_tokens,
            assembler.next_offset,
            frame.cached_tokens,
        )

    def _engine_holds_attempt(
        self, held: _permit_client.HeldPermit, attempt_id: str
    ) -> bool:
        """Returns whether the stalled engine still holds the attempt."""
        try:
            state = self.services.engine_client.read_report(
                held.permit.endpoint_ids[0], held.addresses[0]
            )
        except base.HollycartError:
            return False
        return any(h.attempt_id == attempt_id for h in state.held)

    def _check_endpoints_accept_work(
        self, held: _permit_client.HeldPermit
    ) -> None:
        for endpoint_id in held.permit.endpoint_ids:
            if not self.services.directory.accepts_work(endpoint_id):
                raise base.EndpointUnreachableError(f"{endpoint_id} leaving")

    def _reserve_shares(
        self,
        held: _permit_client.HeldPermit,
        attempt_id: str,
        contacted: list[str],
    ) -> None:
        """Reserves memory for a prompt that is split over several engines.

        The helpers are asked one after the other, by ascending endpoint id as
        in every permit. The attempt fails if one of them has no memory.
        """
        count = len(held.addresses)
        if count == 1:
            return
        share_tokens = -(-self.permit_request.memory_tokens // count)
        pairs = zip(held.permit.endpoint_ids, held.addresses, strict=True)
        for endpoint_id, address in list(pairs)[1:]:
            contacted.append(address)
            if not self.services.engine_client.reserve(
                address, attempt_id, share_tokens
            ):
                self._failed_endpoint_id = endpoint_id
                raise base.EndpointUnreachableError("no memory for a share")

    def _exclude_failed_endpoint(self, held: _permit_client.HeldPermit) -> None:
        failed = (self._failed_endpoint_id or held.permit.endpoint_ids[0],)
        self._failed_endpoint_id = ""
        self.permit_request = self.permit_request._replace(
            excluded=(*self.permit_request.excluded, *failed)[-4:], resumed=True
        )

    def _end_attempt(
        self,
        held: _permit_client.HeldPermit,
        attempt_id: str,
        contacted: list[str],
        complete: bool,
    ) -> None:
        self.services.permits.release(self.req.model, attempt_id)
        if complete and len(contacted) == 1:
            return
        for address in contacted:
            eventlet.spawn_n(self._cancel, address, attempt_id)

    def _cancel(self, address: str, attempt_id: str) -> None:
        """Cancels an attempt at one engine.

        Runs in its own green thread, so that the response does not wait for a
        slow engine.
        """
        try:
            self.services.engine_client.cancel(address, attempt_id)
        except base.HollycartError:
            self.services.metrics.count("attempt.cancel_failed")
