"""Times of a model engine, from its published parameters."""

from hollycart_core import routing


class EngineModel:
    """Predicts reading and writing.

    Args:
        parameters: The published step model.

    Example:
        >>> model = EngineModel(
        ...     routing.EngineParameters(
        ...         8, 450000, 46, 0.925, 0.00966, 0.00254, 256.0, 0.0917, 2048
        ...     )
        ... )
        >>> round(model.prefill_ms(45000)), round(model.prefill_ms(45000, 4))
        (269, 67)
        >>> round(model.decode_step_ms(8, 40000))
        51
    """

    def __init__(self, parameters: routing.EngineParameters) -> None:
        self.parameters = parameters

    def prefill_ms(self, tokens: int, shares: int = 1) -> float:
        """Returns the time to read one of `shares` equal parts, in ms."""
        cfg = self.parameters
        pairs_m = tokens * tokens / 2e6
        whole_ms = (
            tokens / cfg.prefill_tokens_per_ms
            + pairs_m * cfg.attention_ms_per_m_pairs
        )
        return whole_ms / shares

    def decode_step_ms(self, writers: int, context_tokens: int) -> float:
        """Returns the time of a pass without its reading, in ms.

        Args:
            writers: Requests that write.
            context_tokens: Their contexts together, in tokens.
        """
        if not writers:
            return 0.0
        cfg = self.parameters
        step_ms = (
            cfg.step_ms
            + writers * cfg.per_sequence_ms
            + context_tokens / 1000.0 * cfg.context_ms_per_k
        )
        return step_ms * cfg.stride

    def decode_ms(self, output_tokens: int) -> float:
        """Returns the time to write an answer beside short ones, in ms."""
        cfg = self.parameters
        return output_tokens * (cfg.step_ms + cfg.slots * cfg.per_sequence_ms)
