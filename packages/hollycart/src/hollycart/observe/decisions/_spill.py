"""Terms of the decision to leave a zone."""

import msgspec


class SpillTerms(msgspec.Struct):
    """Why a prompt was offered to another cell.

    Losses are in lost requests of weight 1. The prompt is offered if `gain`
    exceeds `round_trip_loss` and `crossing_loss` by more than `error`.

    Attributes:
        gain: Loss that is expected to be avoided; an old summary of the other
            cell reduces it.
        expected_loss: Loss of the prompt that is expected there.
        displaced_loss: Expected loss of other prompts there.
        round_trip_loss: Cost of the extra round trips.
        crossing_bytes: Bytes that are expected to cross between zones.
        crossing_loss: Cost of these bytes.
        error: Error of the gain that is allowed for.
        slots_left: Free slots that are assumed to be left there for it; None
            without a summary.
        age_ms: Age of the summary; None without one.
    """

    gain: float
    expected_loss: float
    displaced_loss: float
    round_trip_loss: float
    crossing_bytes: int
    crossing_loss: float
    error: float
    slots_left: float | None
    age_ms: float | None
