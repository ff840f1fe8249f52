"""Datagrams on prompts that another cell places.

As in `_messages`, the order of the fields and the tags are the wire format.
"""

import msgspec

from hollycart.gateway import _load_messages


class PlacementRequest(msgspec.Struct, tag="q", array_like=True):
    """Asks an instance of another cell to place a prompt there.

    The fields have the meaning of those of `placement.Prompt`.

    Attributes:
        sender: Name of the instance.
        attempt_id: Id of the attempt.
        service: Service of the prompt.
        tokens: Prompt length, in tokens.
        output_tokens: Expected length of the answer, in tokens.
        target_ms: Time left until the first event is late, in ms.
        remaining_ms: Time left until the caller abandons the request, in ms.
        max_gap_ms: Longest acceptable gap between events, in ms.
        excluded: Ids of endpoints that are not to be tried.
        max_loss: Predicted loss above which the sender places the prompt
            itself.
        team: Team that is billed; empty if teams do not share capacity.
    """

    sender: str
    attempt_id: str
    service: str
    tokens: int
    output_tokens: int
    target_ms: float
    remaining_ms: float
    max_gap_ms: float
    excluded: list[str]
    max_loss: float
    team: str = ""


class PlacementReply(msgspec.Struct, tag="p", array_like=True):
    """Replies to a `PlacementRequest`.

    Attributes:
        sender: Name of the instance.
        attempt_id: Id of the attempt.
        state: Summary of the sender's cell.
        assignments: Assignments in the sender's cell, the primary's first;
            None if the prompt was not placed.
        first_event_ms: Predicted time to the first event, in ms.
        predicted_loss: Predicted loss of the placement.
        send_delay_ms: Time to wait before the prompt is sent, in ms.
        reservations: Memory to reserve, in tokens, by endpoint.
        permitted: Whether the sender has acquired a permit for the primary.
    """

    sender: str
    attempt_id: str
    state: _load_messages.CellState
    assignments: _load_messages.AttemptAssignments | None = None
    first_event_ms: float = 0.0
    predicted_loss: float = 0.0
    send_delay_ms: float = 0.0
    reservations: list[tuple[str, int]] = []
    permitted: bool = False


class DelegatedProgress(msgspec.Struct, tag="g", array_like=True):
    """Tells the instance that placed a prompt how its attempt proceeds.

    Attributes:
        sender: Name of the instance that runs the attempt.
        attempt_id: Id of the attempt.
        ended: Whether the attempt has ended; otherwise its first event was
            received.
    """

    sender: str
    attempt_id: str
    ended: bool
