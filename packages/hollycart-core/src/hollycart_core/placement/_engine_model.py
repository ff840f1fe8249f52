"""Step model of an engine, from its published parameters."""

from hollycart_core import routing


class EngineModel:
    """Predicts the prefill and decode times of a model engine.

    Args:
        parameters: Published parameters of the step model.

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
        """Returns the time to prefill one of `shares` equal parts, in ms.

        Args:
            tokens: Length of the whole prompt, in tokens.
            shares: Number of endpoints that the prompt is split over.
        """
        cfg = self.parameters
        million_pairs = tokens * tokens / 2e6
        whole_ms = (
            tokens / cfg.prefill_tokens_per_ms
            + million_pairs * cfg.attention_ms_per_m_pairs
        )
        return whole_ms / shares

    def decode_step_ms(self, decode_count: int, context_tokens: int) -> float:
        """Returns the time of a batch step without prefill, in ms.

        Args:
            decode_count: Number of requests in decode.
            context_tokens: Sum of their contexts, in tokens.
        """
        if not decode_count:
            return 0.0
        cfg = self.parameters
        step_ms = (
            cfg.step_ms
            + decode_count * cfg.per_sequence_ms
            + context_tokens / 1000.0 * cfg.context_ms_per_k
        )
        return step_ms * cfg.stride

    @property
    def usual_answer_ms(self) -> float:
        """Time to decode an answer of the usual length in a full batch."""
        return self.decode_ms(round(self.parameters.usual_answer_tokens))

    def decode_ms(self, output_tokens: int) -> float:
        """Returns the time to decode an answer in a full batch, in ms.

        The other answers in the batch are taken to be short, so that the time
        for their contexts is left out.
        """
        cfg = self.parameters
        return output_tokens * (cfg.step_ms + cfg.slots * cfg.per_sequence_ms)
