"""Estimates the length of prompts without tokenizing them."""

_EWMA_WEIGHT = 0.05  # of a new observation
_MIN_TOKENS = 256  # shorter prompts are not used as observations
_MAX_MODELS = 64


class TokenEstimator:
    """Estimates prompt lengths from the bytes per token of each model.

    The ratio is an EWMA of what the engines report.

    Args:
        bytes_per_token: Ratio of a model before its first report.

    Example:
        >>> TokenEstimator(4.0).tokens("m", 400)
        100
    """

    def __init__(self, bytes_per_token: float) -> None:
        self.bytes_per_token = bytes_per_token
        self._ratios: dict[str, float] = {}

    def tokens(self, model: str, prompt_bytes: int) -> int:
        """Returns the estimated length of a prompt, in tokens."""
        ratio = self._ratios.get(model, self.bytes_per_token)
        return max(1, round(prompt_bytes / ratio))

    def update(self, model: str, prompt_bytes: int, tokens: int) -> None:
        """Updates the ratio by the length that an engine reported."""
        if tokens < _MIN_TOKENS:
            return
        if model not in self._ratios and len(self._ratios) >= _MAX_MODELS:
            return
        old = self._ratios.get(model, self.bytes_per_token)
        ratio = min(16.0, max(0.5, prompt_bytes / tokens))
        self._ratios[model] = old + _EWMA_WEIGHT * (ratio - old)
