"""Start-time fair queueing over the rows of the table."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from hollycart_core.scheduling import _types


class QueuedRequest(NamedTuple):
    """A request waiting for a permit.

    Attributes:
        req: The request.
        work_tokens: Its work, in tokens.
        deadline_ms: Monotonic instant of its deadline, in ms.
        queued_ms: Monotonic instant at which it was queued, in ms.
    """

    req: _types.PermitRequest
    work_tokens: float
    deadline_ms: float
    queued_ms: float


class Head(NamedTuple):
    """The first request of a row.

    Attributes:
        item: The request.
        lag: How far the row is ahead of the one that is due, in tokens of
            work divided by weight; zero for the row that is due.
    """

    item: QueuedRequest
    lag: float


class _Flow:
    """Requests of one row in order of arrival."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.start_tag = 0.0
        self.waiting: collections.deque[QueuedRequest] = collections.deque()
        self.queued_work = 0.0


class FairQueue:
    """Orders requests so that rows share tokens of work by weight.

    Each row with waiting requests has a start tag; the row with the smallest
    tag is offered first and its tag grows by work divided by weight. A row
    that was idle starts at the current virtual time, so it neither saves up
    credit nor waits behind rows that used more than their share.

    Example:
        >>> queue = FairQueue()
        >>> req = _types.PermitRequest("1", "i", "a", "k", 2.0, 0, 9, 1, 50.0)
        >>> queue.push(QueuedRequest(req, 10.0, 50.0, 0.0))
        >>> [head.item.req.permit_id for head in queue.heads()]
        ['1']
    """

    def __init__(self) -> None:
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._idle_tags: dict[tuple[str, str], float] = {}
        self._virtual = 0.0
        self.queued_work = 0.0
        self.length = 0

    def push(self, item: QueuedRequest) -> None:
        """Adds a request at the end of its row."""
        key = (item.req.team, item.req.kind)
        flow = self._flows.get(key)
        if flow is None:
            flow = _Flow(item.req.weight)
            idle_tag = self._idle_tags.pop(key, 0.0)
            flow.start_tag = max(self._virtual, idle_tag)
            self._flows[key] = flow
        flow.weight = item.req.weight
        flow.waiting.append(item)
        self._account(flow, item.work_tokens, 1)

    def heads(self) -> Iterator[Head]:
        """Yields the first request of each row, the next one due first."""
        order = sorted(
            self._flows.values(),
            key=lambda f: (f.start_tag, f.waiting[0].req.priority),
        )
        for flow in order:
            lag = flow.start_tag - order[0].start_tag
            yield Head(flow.waiting[0], lag)

    def take(self, item: QueuedRequest) -> None:
        """Removes the first request of a row and charges the row for it."""
        key = (item.req.team, item.req.kind)
        flow = self._flows[key]
        flow.waiting.popleft()
        self._account(flow, -item.work_tokens, -1)
        self._virtual = max(self._virtual, flow.start_tag)
        flow.start_tag += item.work_tokens / flow.weight
        self._drop_if_empty(key, flow)

    def remove_if(
        self, condition: Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        """Removes and returns waiting requests without charging the rows."""
        removed = []
        for key, flow in list(self._flows.items()):
            gone = [item for item in flow.waiting if condition(item)]
            if not gone:
                continue
            lost = {item.req.permit_id for item in gone}
            flow.waiting = collections.deque(
                i for i in flow.waiting if i.req.permit_id not in lost
            )
            for item in gone:
                self._account(flow, -item.work_tokens, -1)
            removed.extend(gone)
            self._drop_if_empty(key, flow)
        return removed

    def work_ahead(self, team: str, kind: str, weight: float) -> float:
        """Estimates the work served before a new request of a row, in tokens.

        The estimate is the smaller of all waiting work and the row's own
        waiting work divided by the row's share of the weights.
        """
        flow = self._flows.get((team, kind))
        weights = sum(f.weight for f in self._flows.values())
        if flow is None:
            own = 0.0
            weights += weight
        else:
            own = flow.queued_work
        return min(self.queued_work, own * weights / weight)

    def _account(self, flow: _Flow, work: float, count: int) -> None:
        flow.queued_work += work
        self.queued_work = max(0.0, self.queued_work + work)
        self.length += count

    def _drop_if_empty(self, key: tuple[str, str], flow: _Flow) -> None:
        if flow.waiting:
            return
        del self._flows[key]
        if flow.start_tag > self._virtual:
            self._idle_tags[key] = flow.start_tag
        stale = [k for k, t in self._idle_tags.items() if t <= self._virtual]
        for old in stale:
            del self._idle_tags[old]
