"""Asks an instance where a request would be sent."""

from typing import TypeVar
import urllib.parse

import msgspec

from hollycart_core import base
from hollycart_core import dry_run
from hollycart_core import http

_TIMEOUT_MS = 5000.0
_OK = 200
_ANSWER_DECODER = msgspec.json.Decoder(dry_run.Answer)
_FAILURE_DECODER = msgspec.json.Decoder(dry_run.Failure)
# What an instance refuses because of the query itself.
_QUERY_ERRORS: dict[str, type[base.HollycartError]] = {
    e.code: e for e in (base.NotFoundError, base.InvalidRequestError)
}

_T = TypeVar("_T")


def ask_where(address: str, query: dry_run.Query) -> dry_run.Answer:
    """Returns where an instance would send a request now.

    Args:
        address: `IP:PORT` of the instance's metrics page.
        query: The request.

    Raises:
        NotFoundError: If no route matches.
        InvalidRequestError: If the query is malformed.
        PeerUnreachableError: If the instance does not answer the query.
    """
    fields = {k: v for k, v in msgspec.to_builtins(query).items() if v}
    url = f"http://{address}/where?{urllib.parse.urlencode(fields)}"
    client = http.HttpClient()
    client.start()
    try:
        response = client.send("GET", url, timeout_ms=_TIMEOUT_MS)
    except base.HollycartError as exc:
        raise base.PeerUnreachableError(
            f"{address} does not answer: {exc.code}"
        ) from exc
    finally:
        client.close()

    def decode(decoder: msgspec.json.Decoder[_T]) -> _T:
        return (
            base.parse(decoder.decode, response.body)
            .map_err(
                lambda reason: (
                    f"{address} answers with status "
                    f"{response.status}, but not the query: {reason}"
                )
            )
            .unwrap_or_raise(base.PeerUnreachableError)
        )

    if response.status == _OK:
        return decode(_ANSWER_DECODER)
    failure = decode(_FAILURE_DECODER)
    error = _QUERY_ERRORS.get(failure.code)
    if error is not None:
        raise error(failure.detail)
    raise base.PeerUnreachableError(
        f"{address} does not answer the query: {failure.code}: {failure.detail}"
    )
