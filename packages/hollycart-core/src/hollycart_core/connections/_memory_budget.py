"""Bounds the memory that is held for requests and responses."""

from collections.abc import Callable
import itertools
from typing import NamedTuple

# An account of at most this size may also use the reserve. It holds most
# responses and request bodies whole.
_SMALL_BYTES = 65536
_RESERVE_SHARE = 1.0 / 8.0  # of the total, kept for small accounts


class MemoryAccount:
    """Bytes held for one request and its response.

    Args:
        number: Position in the order in which accounts were opened.

    Attributes:
        held_bytes: Bytes held now.
        shed: Called if the account is shed; None while it must not be.
        is_buffered: Whether its caller does not accept what is held.
        since_ms: Instant since which the other side has taken its time: the
            caller to accept what is buffered, else the sender of what is
            received; None if the account holds nothing that can be shed.
        waiting_since_ms: Instant since which it waits for room; None if it
            does not wait.
        waited_ms: Time for which it waited before, since it held nothing, in
            ms.
        is_open: Whether the account still counts.
    """

    __slots__ = (
        "held_bytes",
        "is_buffered",
        "is_open",
        "number",
        "shed",
        "since_ms",
        "waited_ms",
        "waiting_since_ms",
    )

    def __init__(self, number: int) -> None:
        self.number = number
        self.held_bytes = 0
        self.is_buffered = False
        self.shed: Callable[[], None] | None = None
        self.since_ms: float | None = None
        self.waiting_since_ms: float | None = None
        self.waited_ms = 0.0
        self.is_open = True


class MemoryVerdict(NamedTuple):
    """Whether more may be read for an account.

    Attributes:
        wait_ms: Time after which to ask again, in ms; 0 if more may be read.
        victim: Account that has to be shed first; None for none.
    """

    wait_ms: float = 0.0
    victim: MemoryAccount | None = None


class MemoryBudget:
    """Decides whether to read on, to wait, or to shed an account.

    What has arrived is counted in any case; the decision is whether more is
    read. Room goes to the account that was opened first: if all that wait got
    a part of it, many would hold a part and none could complete. The load that
    it responds to is the sum of what is held for callers that read slowly,
    engines that read or send slowly, and requests in flight.

    Args:
        total_bytes: Bound on the bytes of all accounts.
        account_bytes: Bound on the bytes of one account.
        wait_ms: Time for which an account waits for room, in all, before one
            is shed, in ms. It has to be shorter than the time after which an
            engine cuts off a response that is not read, and long enough for
            callers that read promptly to take what was read for them.

    Attributes:
        held_bytes: Bytes of all accounts.

    Example:
        >>> budget = MemoryBudget(1000, 800, wait_ms=500.0)
        >>> slow, other = budget.open(), budget.open()
        >>> slow.shed = lambda: None
        >>> budget.add(slow, 700, now_ms=0.0)
        >>> budget.decide(slow, now_ms=0.0)
        MemoryVerdict(wait_ms=0.0, victim=None)
        >>> budget.add(other, 400, now_ms=10.0)
        >>> budget.decide(other, now_ms=10.0)
        MemoryVerdict(wait_ms=500.0, victim=None)
        >>> budget.decide(other, now_ms=510.0).victim is slow
        True
    """

    def __init__(
        self, total_bytes: int, account_bytes: int, wait_ms: float
    ) -> None:
        self.total_bytes = total_bytes
        self.account_bytes = account_bytes
        self.wait_ms = wait_ms
        self.held_bytes = 0
        self._accounts: set[MemoryAccount] = set()
        self._waiting: set[MemoryAccount] = set()
        self._numbers = itertools.count()

    def open(self) -> MemoryAccount:
        """Returns a new account, which holds nothing."""
        return MemoryAccount(next(self._numbers))

    def add(self, account: MemoryAccount, size: int, now_ms: float) -> None:
        """Counts bytes that are held now; negative if fewer are.

        Args:
            account: The account; nothing happens if it was closed.
            size: Change of its size, in bytes.
            now_ms: Current instant, in ms.
        """
        if not account.is_open or not size:
            return
        account.held_bytes += size
        self.held_bytes += size
        if account.held_bytes > 0:
            self._accounts.add(account)
            if account.since_ms is None and account.shed is not None:
                account.since_ms = now_ms
        else:
            self._accounts.discard(account)
            account.since_ms = None
            account.waited_ms = 0.0

    def set_buffered(
        self, account: MemoryAccount, is_buffered: bool, now_ms: float
    ) -> None:
        """Records whether the caller does not accept what is held for it."""
        account.is_buffered = is_buffered
        if is_buffered:
            account.since_ms = now_ms

    def protect(self, account: MemoryAccount) -> None:
        """Excludes an account from being shed until `shed` is set again."""
        account.shed = None
        account.since_ms = None
        self._stop_waiting(account)

    def close(self, account: MemoryAccount) -> None:
        """Ends an account; it holds nothing from now on."""
        if account.is_open:
            self.held_bytes -= account.held_bytes
            account.is_open = False
            account.held_bytes = 0
            self._accounts.discard(account)
            self._stop_waiting(account)

    def has_room(self, account: MemoryAccount) -> bool:
        """Returns whether more may be read for an account at once."""
        return self._has_room(account, self._find_first())

    def find_ready(self) -> list[MemoryAccount]:
        """Returns the accounts that wait and should ask again now.

        There is room for them, or they are the first in turn.
        """
        first = self._find_first()
        ready = [a for a in self._waiting if self._has_room(a, first)]
        if first is not None and first not in ready:
            ready.append(first)
        return ready

    def decide(self, account: MemoryAccount, now_ms: float) -> MemoryVerdict:
        """Returns whether more may be read for an account.

        Args:
            account: The account.
            now_ms: Current instant, in ms.

        Returns:
            The verdict. The victim is the account itself if it alone exceeds
            its bound, or if no other one can be shed.
        """
        first = self._find_first()
        if not account.is_open or self._has_room(account, first):
            if account.since_ms is not None:
                account.since_ms = now_ms - _slow_ms(account, now_ms)
            if account.waiting_since_ms is not None:
                account.waited_ms += now_ms - account.waiting_since_ms
            self._stop_waiting(account)
            return MemoryVerdict()
        if account.waiting_since_ms is None:
            account.waiting_since_ms = now_ms
            self._waiting.add(account)
        waited_ms = account.waited_ms + now_ms - account.waiting_since_ms
        if waited_ms < self.wait_ms:
            return MemoryVerdict(wait_ms=self.wait_ms - waited_ms)
        if account.held_bytes > self.account_bytes:
            return MemoryVerdict(victim=account)
        if self._find_first() is not account:
            return MemoryVerdict(wait_ms=self.wait_ms)
        return MemoryVerdict(victim=self._find_victim(account, now_ms))

    def _has_room(
        self, account: MemoryAccount, first: MemoryAccount | None
    ) -> bool:
        if account.held_bytes > self.account_bytes:
            return False
        if account.held_bytes <= _SMALL_BYTES:
            return self.held_bytes <= self.total_bytes
        limit = self.total_bytes * (1.0 - _RESERVE_SHARE)
        in_turn = first is None or account.number <= first.number
        return in_turn and self.held_bytes <= limit

    def _find_first(self) -> MemoryAccount | None:
        """Returns the account that waits and was opened first."""
        return min(
            (a for a in self._waiting if a.held_bytes <= self.account_bytes),
            key=lambda a: a.number,
            default=None,
        )

    def _stop_waiting(self, account: MemoryAccount) -> None:
        account.waiting_since_ms = None
        self._waiting.discard(account)

    def _find_victim(
        self, account: MemoryAccount, now_ms: float
    ) -> MemoryAccount:
        """Returns the largest account that can be shed.

        One whose other side has taken its time for as long as others wait goes
        first: the rest may belong to callers and engines that are prompt.
        """
        candidates = [a for a in self._accounts if a.shed is not None]
        lasting = [a for a in candidates if _slow_ms(a, now_ms) >= self.wait_ms]
        return max(
            lasting or candidates,
            key=lambda a: (a.held_bytes, _slow_ms(a, now_ms)),
            default=account,
        )


def _slow_ms(account: MemoryAccount, now_ms: float) -> float:
    """Returns for how long the other side of an account has taken its time.

    While reading waits for room, it is not the sender that is slow.
    """
    if account.since_ms is None:
        return 0.0
    end_ms = now_ms
    if not account.is_buffered and account.waiting_since_ms is not None:
        end_ms = account.waiting_since_ms
    return max(0.0, end_ms - account.since_ms)
