"""What callers, engines and the operator have seen."""

from typing import NamedTuple


class Call(NamedTuple):
    """One request as its caller saw it.

    Attributes:
        request_id: Id of the attempt.
        kind: `stream`, `again` or `once`.
        instance: Who was asked.
        team: Team of the key that was used.
        began_ms: Wall clock of the send, in ms.
        ended_ms: Wall clock of the end, in ms.
        wait_ms: Time that the caller was willing to wait, in ms.
        status: Status of the answer; 0 without one.
        complete: Whether the whole answer came.
        own: Whether all of it belonged to the request, in order.
        left: Whether the caller left before the end.
        retry_after_ms: When to come back; None if not said.
        first_ms: Time to the first byte of the answer, in ms; None without.
    """

    request_id: str
    kind: str
    instance: str
    team: str
    began_ms: float
    ended_ms: float
    wait_ms: float
    status: int
    complete: bool
    own: bool
    left: bool
    retry_after_ms: float | None
    first_ms: float | None = None


class EngineLine(NamedTuple):
    """One line of an engine's journal.

    Attributes:
        at_ms: Wall clock, in ms.
        engine: Id of the engine.
        what: `run`, `end` or `gone`.
        request_id: Id of the attempt.
        team: Who is billed.
    """

    at_ms: float
    engine: str
    what: str
    request_id: str
    team: str


class Fault(NamedTuple):
    """One fault and what it touched.

    Attributes:
        kind: What was done.
        target: Instance or engine; empty for all.
        began_ms: Wall clock of its begin, in ms.
        ended_ms: Wall clock of its end, in ms.
    """

    kind: str
    target: str
    began_ms: float
    ended_ms: float


class SoakRecord:
    """Everything that a run has left.

    Attributes:
        calls: Requests of callers.
        lines: Journals of the engines.
        faults: Faults in the order of their begin.
        leaving: Engine and the store's acknowledgement of its leaving, in ms.
        revoked: Team without keys and the acknowledgement, in ms.
        moved: Service that routes left and the acknowledgement, in ms.
        exits: Instance, exit code and whether it was asked to stop.
        held: Reservations that engines hold at the end.
        direct_ms: Times to the first byte of requests sent to an engine
            without an instance between, in ms.
    """

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.lines: list[EngineLine] = []
        self.faults: list[Fault] = []
        self.leaving: list[tuple[str, float]] = []
        self.revoked: list[tuple[str, float]] = []
        self.moved: list[tuple[str, float]] = []
        self.exits: list[tuple[str, int | None]] = []
        self.held: dict[str, int] = {}
        self.direct_ms: list[float] = []
