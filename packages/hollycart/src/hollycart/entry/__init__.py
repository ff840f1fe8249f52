"""The entry instance, which serves callers and operators."""

from hollycart.entry._auth import key_digest
from hollycart.entry._instance import Instance
from hollycart.entry._request import CompletionRequest
from hollycart.entry._request import parse_completion
from hollycart.entry._settings import ENV_PREFIX
from hollycart.entry._settings import SPECS
from hollycart.entry._settings import Settings
from hollycart.entry._settings import SettingSpec
from hollycart.entry._settings import flag_function
from hollycart.entry._settings import parse_settings
from hollycart.entry._settings import read_settings

__all__ = [
    "ENV_PREFIX",
    "SPECS",
    "CompletionRequest",
    "Instance",
    "SettingSpec",
    "Settings",
    "flag_function",
    "key_digest",
    "parse_completion",
    "parse_settings",
    "read_settings",
]
