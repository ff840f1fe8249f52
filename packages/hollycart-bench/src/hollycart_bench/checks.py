"""Checks made and violations found for one promise."""


class GuaranteeChecker:
    """Counts checks; none made is no proof.

    Args:
        name: The promise.

    Attributes:
        checks: Number of checks.
        violations: What was broken, in words.

    Example:
        >>> checker = GuaranteeChecker("once")
        >>> checker.passed
        False
        >>> checker.check(True, "ran twice")
        >>> checker.passed
        True
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.checks = 0
        self.violations: list[str] = []

    def check(self, holds: bool, detail: str) -> None:
        """Counts a check and notes a violation."""
        self.checks += 1
        if not holds:
            self.violations.append(detail)

    @property
    def passed(self) -> bool:
        """Whether checks were made and none failed."""
        return self.checks > 0 and not self.violations
