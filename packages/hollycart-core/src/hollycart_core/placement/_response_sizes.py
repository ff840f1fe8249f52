"""Estimates how many bytes a response has."""

# Bytes of a response for each token of the answer that are assumed at first,
# and the number of tokens that this counts for.
_BYTES_PER_TOKEN = 16.0
_PRIOR_TOKENS = 1000.0
# Part of what was seen before that counts after one more response.
_RETENTION = 0.99


class ResponseSizes:
    """Learns the bytes of responses for each expected token, by service.

    Example:
        >>> sizes = ResponseSizes()
        >>> sizes.estimate("s", 100)
        1600
        >>> for _ in range(1000):
        ...     sizes.record("s", 100, 5000)
        >>> sizes.estimate("s", 100)
        5000
    """

    def __init__(self) -> None:
        self._sums: dict[str, tuple[float, float]] = {}

    def record(self, service: str, output_tokens: int, size: int) -> None:
        """Records a complete response.

        Args:
            service: Service of the request.
            output_tokens: Length of the answer that was expected, in tokens.
            size: Bytes of the response.
        """
        tokens, total = self._known(service)
        self._sums[service] = (
            tokens * _RETENTION + max(1, output_tokens),
            total * _RETENTION + size,
        )

    def estimate(self, service: str, output_tokens: int) -> int:
        """Returns the bytes of a response that is expected to be so long."""
        tokens, total = self._known(service)
        return round(output_tokens * total / tokens)

    def _known(self, service: str) -> tuple[float, float]:
        prior = (_PRIOR_TOKENS, _PRIOR_TOKENS * _BYTES_PER_TOKEN)
        return self._sums.get(service, prior)
