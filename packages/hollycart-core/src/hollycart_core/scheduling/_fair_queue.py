"""Start-time fair queueing across the rows of the limit table."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from typing import NamedTuple

from hollycart_core.scheduling import _types


class QueuedRequest(NamedTuple):
    """A request waiting for a permit.

    Attributes:
        req: The request.
        work_tokens: Cost of prefill and decode, in prompt tokens.
        deadline_ms: Monotonic time of its deadline, in ms.
        queued_ms: Monotonic time at which it was queued, in ms.
    """

    req: _types.PermitRequest
    work_tokens: float
    deadline_ms: float
    queued_ms: float


class RowHead(NamedTuple):
    """The first request of a row.

    Attributes:
        item: The request.
        lead: How far the row has been served ahead of the row that is due, in
            tokens of work divided by weight. Zero for the row that is due.
    """

    item: QueuedRequest
    lead: float


class _Flow:
    """The queued requests of one row, in order of arrival."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.start_tag = 0.0
        self.waiting: collections.deque[QueuedRequest] = collections.deque()
        self.queued_work = 0.0


class FairQueue:
    """Orders requests so that rows share tokens of work by weight.

    Each row with queued requests has a start tag. The row with the smallest
    tag is due, and serving a request increases the tag by its work divided by
    the weight of the row. A row that was idle restarts no earlier than the
    current virtual time, so it accumulates no credit and does not wait behind
    rows that used more than their share.

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
        self._virtual_time = 0.0
        self.queued_work = 0.0
        self.length = 0

    def push(self, item: QueuedRequest) -> None:
        """Adds a request at the end of its row."""
        key = (item.req.team, item.req.kind)
        flow = self._flows.get(key)
        if flow is None:
            flow = _Flow(item.req.weight)
            idle_tag = self._idle_tags.pop(key, 0.0)
            flow.start_tag = max(self._virtual_time, idle_tag)
            self._flows[key] = flow
        flow.weight = item.req.weight
        flow.waiting.append(item)
        self._adjust_totals(flow, item.work_tokens, 1)

    def heads(self) -> Iterator[RowHead]:
        """Yields the first request of each row in order of start tags.

        The priority of the requests breaks ties.
        """
        order = sorted(
            self._flows.values(),
            key=lambda f: (f.start_tag, f.waiting[0].req.priority),
        )
        for flow in order:
            lead = flow.start_tag - order[0].start_tag
            yield RowHead(flow.waiting[0], lead)

    def dequeue(self, item: QueuedRequest) -> None:
        """Removes the first request of a row and charges the row for it."""
        key = (item.req.team, item.req.kind)
        flow = self._flows[key]
        flow.waiting.popleft()
        self._adjust_totals(flow, -item.work_tokens, -1)
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += item.work_tokens / flow.weight
        self._remove_if_empty(key, flow)

    def remove_if(
        self, condition: Callable[[QueuedRequest], bool]
    ) -> list[QueuedRequest]:
        """Removes and returns matching requests without charging the rows."""
        removed = []
        for key, flow in list(self._flows.items()):
            matching = [item for item in flow.waiting if condition(item)]
            if not matching:
                continue
            matching_ids = {item.req.permit_id for item in matching}
            flow.waiting = collections.deque(
                i for i in flow.waiting if i.req.permit_id not in matching_ids
            )
            for item in matching:
                self._adjust_totals(flow, -item.work_tokens, -1)
            removed.extend(matching)
            self._remove_if_empty(key, flow)
        return removed

    def work_ahead(self, team: str, kind: str, weight: float) -> float:
        """Estimates the work served before a new request of a row, in tokens.

        The estimate is the queued work of the row divided by its share of the
        weights, and at most the queued work of all rows.
        """
        flow = self._flows.get((team, kind))
        total_weight = sum(f.weight for f in self._flows.values())
        if flow is None:
            own_work = 0.0
            total_weight += weight
        else:
            own_work = flow.queued_work
        return min(self.queued_work, own_work * total_weight / weight)

    def _adjust_totals(self, flow: _Flow, work: float, count: int) -> None:
        flow.queued_work += work
        self.queued_work = max(0.0, self.queued_work + work)
        self.length += count

    def _remove_if_empty(self, key: tuple[str, str], flow: _Flow) -> None:
        if flow.waiting:
            return
        del self._flows[key]
        if flow.start_tag > self._virtual_time:
            self._idle_tags[key] = flow.start_tag
        stale = [
            k for k, t in self._idle_tags.items() if t <= self._virtual_time
        ]
        for idle_key in stale:
            del self._idle_tags[idle_key]
