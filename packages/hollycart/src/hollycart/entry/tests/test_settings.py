import pathlib

import pytest

from hollycart import entry
from hollycart_core import base

_REQUIRED = {
    "instance_id": "i0",
    "kv_address": "127.0.0.1:1",
    "list_address": "127.0.0.1:2",
}


def test_all_errors_are_reported_at_once_by_name():
    bad = {**_REQUIRED, "port": "0", "policy": "best", "cell": "a b"}
    with pytest.raises(base.InvalidSettingsError) as caught:
        entry.parse_settings(bad)
    names = {line.split(":")[0] for line in caught.value.detail.splitlines()}
    assert names == {"port", "policy", "cell"}


def test_flag_takes_precedence_over_the_variable():
    environ = {f"HOLLYCART_{k.upper()}": v for k, v in _REQUIRED.items()}
    environ["HOLLYCART_PORT"] = "9000"
    cfg = entry.read_settings(["--port", "9001"], environ)
    assert (cfg.port, cfg.instance_id) == (9001, "i0")


def test_unknown_variable_is_an_error():
    with pytest.raises(base.InvalidSettingsError, match="HOLLYCART_PROT"):
        entry.read_settings([], {"HOLLYCART_PROT": "1"})


def test_every_setting_has_a_specification():
    assert set(entry.SPECS) == set(entry.Settings._fields)


def test_settings_page_lists_every_setting():
    root = pathlib.Path(__file__).parents[6]
    page = (root / "docs" / "SETTINGS.md").read_text()
    for name, spec in entry.SPECS.items():
        flag = "--" + name.replace("_", "-")
        default = "required" if spec.default is None else f"`{spec.default}`"
        row = f"| `{flag}` | `HOLLYCART_{name.upper()}` | {default} |"
        assert row in page
