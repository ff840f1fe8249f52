"""Authenticates callers and operators by bearer keys."""

import hashlib
import hmac
from typing import Any
from typing import NamedTuple

from hollycart_core import base
from hollycart_core import table

DEFAULT_KIND = "default"


class Caller(NamedTuple):
    """An authenticated caller.

    Attributes:
        row: Row of the limit table, with the weight and limits that apply.
    """

    row: table.LimitRow


def key_digest(key: str) -> str:
    """Returns the hex SHA-256 digest of a bearer key, as it is stored.

    Example:
        >>> len(key_digest("secret"))
        64
    """
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(environ: dict[str, Any]) -> str:
    """Returns the bearer key of a request, or an empty string."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def authenticate(environ: dict[str, Any], current: table.Table) -> Caller:
    """Finds the row of the limit table for the caller's team and kind.

    Raises:
        UnauthorizedError: If the bearer key is missing or unknown.
        NotFoundError: If the team has no row for the request kind.
    """
    digest = key_digest(bearer_key(environ))
    team = current.teams_by_digest.get(digest, "")
    row = current.rows.get(f"team/{team}")
    stored = row.key_digests if isinstance(row, table.TeamRow) else ()
    matches = [hmac.compare_digest(digest, s) for s in stored]
    if not any(matches):
        raise base.UnauthorizedError("unknown bearer key")
    kind = environ.get("HTTP_HOLLYCART_KIND", DEFAULT_KIND)
    limits = current.limit(team, kind)
    if limits is None:
        raise base.NotFoundError(f"request kind {kind[:64]!r}")
    return Caller(limits)


def check_operator(environ: dict[str, Any], digest: str) -> None:
    """Checks the operator key of a request.

    An empty digest disables the admin interface.

    Raises:
        UnauthorizedError: If the key is wrong or the interface is disabled.
    """
    presented_digest = key_digest(bearer_key(environ))
    if not digest or not hmac.compare_digest(presented_digest, digest):
        raise base.UnauthorizedError("operators only")
