"""Settings of an entry instance from flags and environment variables."""

from collections.abc import Mapping
from collections.abc import Sequence
import inspect
import re
from typing import Any
from typing import NamedTuple

import defopt
import msgspec

from hollycart_core import base
from hollycart_core import scheduling

ENV_PREFIX = "HOLLYCART_"
_NAME = r"[A-Za-z0-9._-]{1,64}"
_ADDRESS = r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}"
_OPTIONAL_DIGEST = r"([0-9a-f]{64})?"
_OPTIONAL_IP = r"(\d{1,3}(\.\d{1,3}){3})?"


class Settings(NamedTuple):
    """Settings of one instance.

    Each setting is a flag and an environment variable. The flag of
    `kv_address` is `--kv-address`, its environment variable is
    `HOLLYCART_KV_ADDRESS`. The flag takes precedence.
    """

    instance_id: str
    cell: str
    zone: str
    host: str
    port: int
    peer_port: int
    kv_address: str
    list_address: str
    policy: str
    short_utilization: float
    operator_key_digest: str
    peer_secret: str
    statsd_host: str
    statsd_port: int
    max_body_bytes: int
    body_timeout_ms: int
    max_conns: int
    memory_mb: int
    bytes_per_token: float
    list_interval_ms: int
    exchange_interval_ms: int
    report_interval_ms: int
    list_lag_ms: int
    drain_timeout_ms: int
    verbosity: int


class SettingSpec(NamedTuple):
    """Help text, default and bounds of one setting.

    Attributes:
        doc: Help text, with the unit of a number.
        default: Default as text; None for a required setting.
        low: Minimum of a number.
        high: Maximum of a number.
        pattern: Regular expression that a text must match in full.
    """

    doc: str
    default: str | None
    low: float = 0
    high: float = 0
    pattern: str = ""


SPECS: dict[str, SettingSpec] = {
    "instance_id": SettingSpec(
        "Identifier in the instance list.", None, pattern=_NAME
    ),
    "cell": SettingSpec(
        "Group of availability zones whose engines are scheduled together.",
        "default",
        pattern=_NAME,
    ),
    "zone": SettingSpec("Availability zone.", "a", pattern=_NAME),
    "host": SettingSpec(
        "IP address to listen on.", "127.0.0.1", pattern=r"[0-9.]{7,15}"
    ),
    "port": SettingSpec("TCP port for callers.", "8080", 1, 65535),
    "peer_port": SettingSpec("TCP port for instances.", "8081", 1, 65535),
    "kv_address": SettingSpec(
        "IP address and port of the key-value store.",
        None,
        pattern=_ADDRESS,
    ),
    "list_address": SettingSpec(
        "IP address and port of the instance list.", None, pattern=_ADDRESS
    ),
    "policy": SettingSpec(
        f"Placement policy, one of {', '.join(scheduling.POLICIES)}.",
        "split",
        pattern="|".join(scheduling.POLICIES),
    ),
    "short_utilization": SettingSpec(
        "Maximum utilization of the endpoints reserved for short requests; a "
        "lower value protects short requests more.",
        "0.45",
        0.05,
        1.0,
    ),
    "operator_key_digest": SettingSpec(
        "SHA-256 of the operators' key in hexadecimal; an empty value closes "
        "the operators' interface.",
        "",
        pattern=_OPTIONAL_DIGEST,
    ),
    "peer_secret": SettingSpec(
        "Secret shared by all instances; empty for none.",
        "",
        pattern=r"[!-~]{0,128}",
    ),
    "statsd_host": SettingSpec(
        "IP address of the statsd daemon; empty disables statsd.",
        "",
        pattern=_OPTIONAL_IP,
    ),
    "statsd_port": SettingSpec(
        "UDP port of the statsd daemon.", "8125", 1, 65535
    ),
    "max_body_bytes": SettingSpec(
        "Maximum size of a request body, in bytes.", "16777216", 1024, 1 << 28
    ),
    "body_timeout_ms": SettingSpec(
        "Time for a caller to send its body, in ms.", "20000", 10, 600_000
    ),
    "max_conns": SettingSpec(
        "Maximum number of connections from callers; fewer if memory or the "
        "limit on open files require it.",
        "4096",
        1,
        65536,
    ),
    "memory_mb": SettingSpec(
        "Memory of the process, in MB; 0 for that of the machine.",
        "0",
        0,
        1 << 24,
    ),
    "bytes_per_token": SettingSpec(
        "Estimate of prompt bytes per token until engines report usage.",
        "4.0",
        0.5,
        16.0,
    ),
    "list_interval_ms": SettingSpec(
        "Time between reads of the instance list, in ms.", "500", 50, 10_000
    ),
    "exchange_interval_ms": SettingSpec(
        "Time between exchanges with other instances, in ms.",
        "500",
        50,
        2_000,
    ),
    "report_interval_ms": SettingSpec(
        "Time between reads of an engine's load, in ms.",
        "1000",
        100,
        10_000,
    ),
    "list_lag_ms": SettingSpec(
        "Time until the platform sees that an instance is leaving, in ms.",
        "1500",
        0,
        60_000,
    ),
    "drain_timeout_ms": SettingSpec(
        "Maximum time to finish requests at shutdown, in ms.",
        "900000",
        0,
        7_200_000,
    ),
    "verbosity": SettingSpec(
        "Log verbosity: 0 logs state changes, -1 warnings only.",
        "0",
        -3,
        3,
    ),
}


def parse_settings(values: Mapping[str, str]) -> Settings:
    """Parses and validates settings.

    Args:
        values: Texts by name of the setting; missing ones take defaults.

    Returns:
        The settings.

    Raises:
        InvalidSettingsError: If settings are invalid. The message has one line
            for each of them.

    Example:
        >>> try:
        ...     parse_settings({"port": "x"})
        ... except base.InvalidSettingsError as exc:
        ...     print(exc.detail.splitlines()[1])
        port: 'x' is not a number from 1 to 65535
    """
    errors: list[str] = []
    parsed: dict[str, Any] = {}
    for name, spec in SPECS.items():
        text = values.get(name, spec.default)
        if text is None:
            errors.append(f"{name}: is required")
            continue
        kind = Settings.__annotations__[name]
        value, error = _parse_one(text, kind, spec)
        if error:
            errors.append(f"{name}: {error}")
        parsed[name] = value
    if errors:
        raise base.InvalidSettingsError("\n".join(errors))
    return Settings(**parsed)


def read_settings(argv: Sequence[str], environ: Mapping[str, str]) -> Settings:
    """Reads settings from flags and environment variables.

    Raises:
        InvalidSettingsError: If settings are invalid or unknown. The message
            names all of them.
    """
    from_environ = {
        key.removeprefix(ENV_PREFIX).lower(): value
        for key, value in environ.items()
        if key.startswith(ENV_PREFIX)
    }
    unknown = sorted(set(from_environ) - set(SPECS))
    if unknown:
        names = ", ".join(ENV_PREFIX + u.upper() for u in unknown)
        raise base.InvalidSettingsError(f"unknown variable: {names}")
    flags: dict[str, str] = defopt.run(
        flag_function(), argv=list(argv), no_negated_flags=True
    )
    from_flags = {name: text for name, text in flags.items() if text != _UNSET}
    return parse_settings({**from_environ, **from_flags})


_UNSET = "-"  # value of a flag that is not on the command line


def flag_function() -> Any:
    """Returns a function with one keyword argument for each setting.

    defopt derives the command line from its signature and docstring.
    """

    def serve(**values: str) -> dict[str, str]:
        return values

    parameters = [
        inspect.Parameter(
            name, inspect.Parameter.KEYWORD_ONLY, default=_UNSET, annotation=str
        )
        for name in SPECS
    ]
    serve.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    serve.__annotations__ = dict.fromkeys(SPECS, str)
    lines = ["Runs an entry instance until SIGTERM.", "", "Args:"]
    for name, spec in SPECS.items():
        default = "required" if spec.default is None else repr(spec.default)
        lines.append(f"    {name}: {spec.doc} Default: {default}.")
    serve.__doc__ = "\n".join(lines)
    return serve


def _parse_one(text: str, kind: Any, spec: SettingSpec) -> tuple[Any, str]:
    if kind is str:
        if not re.fullmatch(spec.pattern, text):
            return text, f"{text!r} does not match {spec.pattern}"
        return text, ""
    try:
        value = msgspec.convert(text, kind, strict=False)
    except msgspec.ValidationError:
        value = None
    if value is None or not spec.low <= value <= spec.high:
        reason = f"{text!r} is not a number from {spec.low} to {spec.high}"
        return value, reason
    return value, ""
