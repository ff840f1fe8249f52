"""Model of the time that one batch step of an engine takes."""

from typing import NamedTuple


class StepModel(NamedTuple):
    """A roofline model of a batching engine.

    A step reads the weights once, regardless of the batch size, and its compute
    time is proportional to the prompt tokens. The larger of the two counts.

    Attributes:
        overhead_ms: Fixed overhead of a step, in ms.
        weights_ms: Time to read the weights, in ms.
        token_ms: Compute time per prompt token, in ms.
        decode_ms: Added time per decoding sequence, in ms.
        chunk_tokens: Maximum number of prompt tokens per step (chunked
            prefill).

    Example:
        >>> StepModel().step_ms(prefill_tokens=2048, decodes=0)
        53.2
    """

    overhead_ms: float = 2.0
    weights_ms: float = 10.0
    token_ms: float = 0.025
    decode_ms: float = 0.15
    chunk_tokens: int = 2048

    def step_ms(self, prefill_tokens: int, decodes: int) -> float:
        """Returns the duration of a step with this batch, in ms."""
        compute_ms = self.token_ms * prefill_tokens
        return (
            self.overhead_ms
            + max(self.weights_ms, compute_ms)
            + self.decode_ms * decodes
        )
