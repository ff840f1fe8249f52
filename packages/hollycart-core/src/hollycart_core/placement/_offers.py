"""When a prompt is offered to another cell."""

from hollycart_core.placement import _types

# Predicted loss, relative to the weight of a prompt, from which it is offered.
# Its first event is then predicted late, or close to it.
_OFFER_LOSS = 0.25
# Predicted loss from which any prompt is offered: it would make an interactive
# answer late.
_MAX_OFFER_LOSS = 0.75
# Loss by which another cell has to be better, for the traffic between
# availability zones and the error of predictions that were made apart.
_CROSSING_LOSS = 0.1


def max_remote_loss(
    prompt: _types.Prompt, own: _types.Placement | None
) -> float | None:
    """Returns the loss up to which another cell should run a prompt.

    The load it answers: the own cell is full or has lost its endpoints, or a
    long prompt would make short answers late there. Otherwise nothing is asked
    of other cells, so that a fleet with room spends no messages on this.

    Args:
        prompt: The prompt.
        own: Best placement in the own cell; None if there is none.

    Returns:
        The loss; None if the own cell serves the prompt well.

    Example:
        >>> prompt = _types.Prompt("a", 14000, 1500, 300.0, 2000.0, 200.0)
        >>> endpoint = _types.Endpoint("e", "", "", "", 8)
        >>> max_remote_loss(
        ...     prompt, _types.Placement(endpoint, (), (), 100.0, 0.1)
        ... )
        >>> max_remote_loss(
        ...     prompt, _types.Placement(endpoint, (), (), 500.0, 2.1)
        ... )
        2.0
        >>> max_remote_loss(prompt, None)
        inf
    """
    if own is None or own.retry_after_ms(prompt) is not None:
        return float("inf")
    if own.predicted_loss < min_offer_loss(prompt):
        return None
    return own.predicted_loss - _CROSSING_LOSS


def min_offer_loss(prompt: _types.Prompt) -> float:
    """Returns the loss in the own cell from which a prompt is offered.

    One whose caller would leave before its first event is offered in any case.
    """
    return min(_OFFER_LOSS * prompt.weight, _MAX_OFFER_LOSS)
