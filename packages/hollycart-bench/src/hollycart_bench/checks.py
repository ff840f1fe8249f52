"""Counts the checks and violations of one guarantee."""


class GuaranteeChecker:
    """Counts the checks and violations of one guarantee.

    A guarantee that was never checked does not pass.

    Args:
        name: Name of the guarantee.

    Attributes:
        checks: Number of checks so far.
        violations: Description of each failed check.

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
        """Counts a check and records a violation if it does not hold.

        Args:
            holds: Whether the guarantee holds.
            detail: Description of the violation.
        """
        self.checks += 1
        if not holds:
            self.violations.append(detail)

    @property
    def passed(self) -> bool:
        """Whether at least one check was made and none failed."""
        return self.checks > 0 and not self.violations
