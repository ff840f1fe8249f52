"""Estimates the length of prompts without tokenizing them."""

_WEIGHT = 0.05  # of a new observation
_MIN_TOKENS = 256  # shorter prompts do not teach
_MAX_MODELS = 64


class TokenEstimate:
    """Learns the bytes per token of each model from reported usage.

    Args:
        bytes_per_token: Estimate before the first report.

    Example:
        >>> TokenEstimate(4.0).tokens("m", 400)
        100
    """

    def __init__(self, bytes_per_token: float) -> None:
        self.bytes_per_token = bytes_per_token
        self._learnt: dict[str, float] = {}

    def tokens(self, model: str, prompt_bytes: int) -> int:
        """Returns the estimated length, in tokens."""
        ratio = self._learnt.get(model, self.bytes_per_token)
        return max(1, round(prompt_bytes / ratio))

    def learn(self, model: str, prompt_bytes: int, tokens: int) -> None:
        """Takes the length that an engine reported."""
        if tokens < _MIN_TOKENS:
            return
        if model not in self._learnt and len(self._learnt) >= _MAX_MODELS:
            return
        old = self._learnt.get(model, self.bytes_per_token)
        ratio = min(16.0, max(0.5, prompt_bytes / tokens))
        self._learnt[model] = old + _WEIGHT * (ratio - old)
