"""Finds the traits of requests that crash engines, and keeps them away."""

from hollycart_core.crashes._attempt_log import ONSET_MS
from hollycart_core.crashes._attempt_log import AttemptLog
from hollycart_core.crashes._attempt_log import TrackedAttempt
from hollycart_core.crashes._crash_history import SETTLE_MS
from hollycart_core.crashes._crash_history import CrashHistory
from hollycart_core.crashes._crash_history import Culprit
from hollycart_core.crashes._quarantine import Quarantine
from hollycart_core.crashes._quarantine import QuarantineEntry
from hollycart_core.crashes._types import EngineCrash
from hollycart_core.crashes._types import SuspectAttempt
from hollycart_core.crashes._types import is_request_trait
from hollycart_core.crashes._types import request_trait

__all__ = [
    "ONSET_MS",
    "SETTLE_MS",
    "AttemptLog",
    "CrashHistory",
    "Culprit",
    "EngineCrash",
    "QuarantineEntry",
    "Quarantine",
    "SuspectAttempt",
    "TrackedAttempt",
    "is_request_trait",
    "request_trait",
]
