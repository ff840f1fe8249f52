"""Time that one step of an engine takes."""

from typing import NamedTuple


class StepModel(NamedTuple):
    """A roofline model of a batching engine.

    A step reads the weights once, whatever the batch, and computes in
    proportion to the tokens in it; the larger of the two decides.

    Attributes:
        overhead_ms: Fixed cost of a step, in ms.
        weights_ms: Time to read the weights, in ms.
        token_ms: Compute per prompt token, in ms.
        decode_ms: Cost per sequence that generates, in ms.
        chunk_tokens: Prompt tokens processed in one step at most.

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
        """Returns the time of one step, in ms."""
        compute_ms = self.token_ms * prefill_tokens
        return (
            self.overhead_ms
            + max(self.weights_ms, compute_ms)
            + self.decode_ms * decodes
        )
