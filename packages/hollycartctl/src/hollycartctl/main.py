"""The `hollycartctl` command.

Exit codes: 0 success, 2 invalid input or usage, 3 version conflict, 4 the
platform or the instance does not answer and nothing was changed, 5 it is not
known whether the change was accepted, 6 the change was accepted but no instance
could be notified.
"""

from collections.abc import Sequence
import pathlib
import sys
from typing import Any
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")

import defopt
import msgspec

from hollycart_core import base
from hollycart_core import dry_run
from hollycart_core import orders
from hollycartctl import diagnosis
from hollycartctl import operations

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5
EXIT_NOT_NOTIFIED = 6

_EXIT_CODES: dict[type[base.HollycartError], int] = {
    base.VersionConflictError: EXIT_CONFLICT,
    base.KvUnavailableError: EXIT_UNAVAILABLE,
    base.KvAnswerLostError: EXIT_UNKNOWN,
    base.PeerUnreachableError: EXIT_UNAVAILABLE,
}


def plan(file: pathlib.Path, *, json: bool = False) -> None:
    """Shows the changes that a table file would make.

    Args:
        file: CSV file.
        json: Print JSON.
    """
    changes = operations.default_client().plan(_read(file))
    if json:
        _print_json(changes)
        return
    for change in changes:
        sign = (
            "-" if change.row is None else "~" if change.version_read else "+"
        )
        values = "" if change.row is None else ",".join(map(str, change.row))
        sys.stdout.write(f"{sign} {change.key} {values}\n")
    sys.stdout.write(f"{len(changes)} change(s)\n")


def apply(file: pathlib.Path, *, json: bool = False) -> None:
    """Changes the table to match a file.

    Args:
        file: CSV file; its version column, if present, is checked.
        json: Print JSON.
    """
    _report(operations.default_client().apply(_read(file)), json)


def explain(request_id: str, *files: pathlib.Path, json: bool = False) -> None:
    """Prints the timeline of a request from logs, and the cause of its outcome.

    Args:
        request_id: Id that the caller sent.
        files: Log files of the instances; standard input if none is given.
        json: Print JSON.
    """
    found = diagnosis.explain(request_id, _read_decisions(files))
    if found is None:
        sys.stderr.write(f"no log line for request {request_id}\n")
        sys.exit(EXIT_INVALID)
    if json:
        _print_json(found)
        return
    begin_ms = found.timeline[0].time_ms
    for line in found.timeline:
        fields = {
            k: v
            for k, v in line.fields.items()
            if k not in ("time_ms", "instance", "event", "request")
        }
        sys.stdout.write(
            f"{line.time_ms - begin_ms:9.1f} ms {line.instance} {line.event}"
            f" {msgspec.json.encode(fields).decode()}\n"
        )
    sys.stdout.write(f"cause: {found.cause}: {found.summary}\n")


def where(
    address: str,
    host: str,
    path: str,
    *,
    method: str = "POST",
    team: str = "",
    prompt_tokens: int = 0,
    output_tokens: int = 0,
    timeout_ms: float | None = None,
    request_id: str = "",
    json: bool = False,
) -> None:
    """Asks an instance where a request would be sent now, without sending it.

    Args:
        address: `IP:PORT` of the instance's metrics page.
        host: Host name that the request is addressed to.
        path: Path of the request.
        method: HTTP method.
        team: Name of the team; any team with a valid key by default.
        prompt_tokens: Length of the prompt, in tokens.
        output_tokens: Expected length of the answer, in tokens.
        timeout_ms: Time for which the caller waits, in ms.
        request_id: Id of the request, for routes with several services.
        json: Print JSON.
    """
    query = dry_run.Query(
        host,
        path,
        method,
        team,
        prompt_tokens,
        output_tokens,
        timeout_ms,
        request_id,
    )
    answer = operations.ask_where(address, query)
    if json:
        _print_json(answer)
    else:
        sys.stdout.write(diagnosis.format_where(answer))


def report(
    out: pathlib.Path,
    *files: pathlib.Path,
    metrics: list[pathlib.Path] = [],  # noqa: B006
) -> None:
    """Writes an HTML report with plots from instances' logs and metrics.

    Args:
        out: HTML file to write.
        files: Log files of the instances; standard input if none is given.
        metrics: Files with metrics in the format that the instances serve.
    """
    found = diagnosis.summarize(_read_decisions(files))
    if found is None:
        sys.stderr.write("no decision found in the logs\n")
        sys.exit(EXIT_INVALID)
    scrapes = {file.name: _read(file) for file in metrics}
    try:
        page = diagnosis.render_report(found, scrapes)
    except ValueError as exc:
        sys.stderr.write(f"metrics: {exc}\n")
        sys.exit(EXIT_INVALID)
    out.write_text(page, encoding="utf-8")


def export(*, json: bool = False) -> None:
    """Prints the table as CSV.

    Args:
        json: Print JSON.
    """
    client = operations.default_client()
    if json:
        _print_json(list(client.tables.read().rows.values()))
    else:
        sys.stdout.write(client.export())


def history(*, json: bool = False) -> None:
    """Lists the accepted edits, the oldest first.

    Args:
        json: Print JSON.
    """
    records = operations.default_client().history()
    if json:
        _print_json(records)
        return
    for record in records:
        keys = " ".join(c.key for c in record.changes)
        sys.stdout.write(f"{record.revision} {record.author} {keys}\n")


def rollback(revision: int, *, json: bool = False) -> None:
    """Reverts the changes of one edit, as a new revision.

    Args:
        revision: Revision of the edit to revert.
        json: Print JSON.
    """
    _report(operations.default_client().rollback(revision), json)


def status(*, json: bool = False) -> None:
    """Shows instances, their pools and key-value calls.

    Args:
        json: Print JSON.
    """
    states = operations.default_client().status()
    if json:
        _print_json(states)
        return
    for state in states:
        sys.stdout.write(_status_line(state) + "\n")
        for model, pool in state.get("pools", {}).items():
            sys.stdout.write(
                f"  pool {model}: owner {pool['owner']}, "
                f"queued {pool['queued']}\n"
            )
        calls = state.get("kv_calls", {})
        text = ", ".join(f"{k} {v}" for k, v in sorted(calls.items()))
        sys.stdout.write(f"  key-value calls: {text}\n")


def histograms(*, json: bool = False) -> None:
    """Shows quantiles of times per team and request kind, in ms.

    Args:
        json: Print JSON.
    """
    found = operations.default_client().histograms()
    if json:
        _print_json(found)
        return
    for instance_id, rows in found.items():
        for row in rows or ():
            sys.stdout.write(
                f"{instance_id} {row['name']} {row['team']} {row['kind']} "
                f"n={row['count']} p50={row['p50']} p95={row['p95']} "
                f"p99={row['p99']} max={row['max']}\n"
            )


def add(team: str, *, json: bool = False) -> None:
    """Adds a team and prints its bearer key.

    Args:
        team: Name of the team.
        json: Print JSON.
    """
    _print_key(team, operations.default_client().add_team(team), json)


def rotate_key(
    team: str, *, drop_old: bool = False, json: bool = False
) -> None:
    """Creates a new bearer key for a team and prints it.

    Args:
        team: Name of the team.
        drop_old: Revoke the former key immediately.
        json: Print JSON.
    """
    key = operations.default_client().rotate_key(team, drop_old)
    _print_key(team, key, json)


def targets(file: pathlib.Path, *, json: bool = False) -> None:
    """Sets the models and roles that endpoints should have.

    Args:
        file: JSON list of `[endpoint_id, [model, ...], role]`.
        json: Print JSON.
    """
    decoder = msgspec.json.Decoder(list[orders.Order])
    wanted = base.parse(decoder.decode, _read(file).encode()).unwrap_or_raise(
        base.InvalidTableError
    )
    operations.default_client().set_targets(wanted)
    if json:
        _print_json({"targets": len(wanted)})


def drain(instance_id: str, *, json: bool = False) -> None:
    """Begins the graceful shutdown of an instance.

    Args:
        instance_id: Id of the instance.
        json: Print JSON.
    """
    operations.default_client().drain(instance_id)
    if json:
        _print_json({"draining": instance_id})


def main() -> None:
    """Runs the command given on the command line."""
    commands: dict[str, Any] = {
        "plan": plan,
        "apply": apply,
        "export": export,
        "history": history,
        "rollback": rollback,
        "status": status,
        "histograms": histograms,
        "teams": [add, rotate_key],
        "targets": targets,
        "drain": drain,
        "explain": explain,
        "where": where,
        "report": report,
    }
    try:
        defopt.run(commands, no_negated_flags=True)
    except base.HollycartError as exc:
        sys.stderr.write(f"{exc.code}: {exc.detail}\n")
        sys.exit(_EXIT_CODES.get(type(exc), EXIT_INVALID))


def _read_decisions(
    files: Sequence[pathlib.Path],
) -> list[diagnosis.LogLine]:
    """Returns the decisions in log files; without files, in standard input."""
    texts = [text for file in files for text in _read(file).splitlines()]
    if not files:
        texts = sys.stdin.read().splitlines()
    return diagnosis.read_lines(texts)


def _report(applied: operations.Applied, json: bool) -> None:
    if json:
        _print_json(applied._asdict())
    elif applied.revision:
        sys.stdout.write(
            f"revision {applied.revision}: {applied.changes} change(s), "
            f"{applied.notified} instance(s) notified\n"
        )
    else:
        sys.stdout.write("no change\n")
    if applied.revision and not applied.notified:
        sys.exit(EXIT_NOT_NOTIFIED)


def _status_line(state: dict[str, Any]) -> str:
    if "ready" not in state:
        return f"{state['instance_id']}: does not answer"
    flag = "draining" if state["draining"] else "ready"
    return (
        f"{state['instance_id']}: {flag if state['ready'] else 'not ready'}, "
        f"cell {state['cell']}, zone {state['zone']}, "
        f"table {state['table_revision']}, running {state['running']}, "
        f"members {len(state['members'])}"
    )


def _print_key(team: str, key: str, json: bool) -> None:
    if json:
        _print_json({"team": team, "key": key})
    else:
        sys.stdout.write(f"{key}\n")


def _print_json(value: Any) -> None:
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")


def _read(file: pathlib.Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise base.InvalidTableError(f"{file}: {exc}") from exc


if __name__ == "__main__":
    main()
