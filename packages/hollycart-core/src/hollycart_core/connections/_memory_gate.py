"""Lets green threads wait for room in the memory budget."""

import eventlet
from eventlet import event

from hollycart_core import base
from hollycart_core.connections import _memory_budget


class ResponseShedError(base.HollycartError):
    """A response was given up, since memory for responses is exhausted.

    The request may have been executed. A part of the response that was sent
    is not complete.

    Args:
        detail: What happened, for a person.
        account_bytes: Bytes that were held for the request and its response.
        held_bytes: Bytes that were held for all of them.
        held_ms: Time for which the response had been held, in ms.
    """

    code = "response_shed"
    http_status = 502

    def __init__(
        self,
        detail: str,
        account_bytes: int = 0,
        held_bytes: int = 0,
        held_ms: float = 0.0,
    ) -> None:
        super().__init__(detail)
        self.account_bytes = account_bytes
        self.held_bytes = held_bytes
        self.held_ms = held_ms


class MemoryGate:
    """Counts what is held for callers, and makes readers wait for room.

    Args:
        budget: Decides who reads on, waits or is shed.
        clock: Source of time.

    Attributes:
        buffered_responses: Responses with bytes that their callers have not
            accepted yet.
    """

    def __init__(
        self, budget: _memory_budget.MemoryBudget, clock: base.Clock
    ) -> None:
        self.budget = budget
        self.clock = clock
        self.buffered_responses = 0
        self._waiting: dict[_memory_budget.MemoryAccount, event.Event] = {}

    @property
    def is_full(self) -> bool:
        """Whether nothing more may be read, not even for a new account."""
        return self.budget.held_bytes > self.budget.total_bytes

    def add(self, account: _memory_budget.MemoryAccount, size: int) -> None:
        """Counts bytes that are held from now on; negative if freed."""
        self.budget.add(account, size, self.clock.now_ms())
        if size < 0:
            self._wake()

    def set_buffered(
        self, account: _memory_budget.MemoryAccount, is_buffered: bool
    ) -> None:
        """Records whether a caller does not accept its response."""
        if account.is_buffered != is_buffered:
            self.buffered_responses += 1 if is_buffered else -1
            now_ms = self.clock.now_ms()
            self.budget.set_buffered(account, is_buffered, now_ms)

    def close(self, account: _memory_budget.MemoryAccount) -> None:
        """Ends an account, which frees what it holds."""
        if account.is_open:
            self.budget.close(account)
            self._wake()

    def wait(self, account: _memory_budget.MemoryAccount) -> None:
        """Waits until more may be read for an account; sheds others if needed.

        Raises:
            ResponseShedError: If the account itself has to be shed.
        """
        while True:
            verdict = self.budget.decide(account, self.clock.now_ms())
            if verdict.victim is account:
                raise self.make_error(account)
            if verdict.victim is not None and verdict.victim.shed is not None:
                verdict.victim.shed()
                self.close(verdict.victim)
                eventlet.sleep(0)  # its thread frees what it holds
            elif verdict.wait_ms:
                self._wait_for_room(account, verdict.wait_ms)
            else:
                self._wake()  # there may be room for the next one, too
                return

    def make_error(
        self, account: _memory_budget.MemoryAccount
    ) -> ResponseShedError:
        """Returns the failure of a request whose account is shed."""
        held_ms = 0.0
        if account.since_ms is not None:
            held_ms = self.clock.now_ms() - account.since_ms
        return ResponseShedError(
            f"{account.held_bytes} of {self.budget.held_bytes} bytes held for "
            f"callers, for {held_ms:.0f} ms",
            account.held_bytes,
            self.budget.held_bytes,
            held_ms,
        )

    def _wait_for_room(
        self, account: _memory_budget.MemoryAccount, timeout_ms: float
    ) -> None:
        freed = self._waiting[account] = event.Event()
        try:
            with eventlet.Timeout(timeout_ms / 1000.0, False):
                freed.wait()
        finally:
            self._waiting.pop(account, None)

    def _wake(self) -> None:
        if not self._waiting:
            return
        for account in self.budget.find_ready():
            freed = self._waiting.pop(account, None)
            if freed is not None:
                freed.send()
