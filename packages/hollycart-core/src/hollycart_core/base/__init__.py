"""Shared types: clocks, deadlines, errors, outcomes and identifiers."""

from hollycart_core.base._clock import BootClock
from hollycart_core.base._clock import Clock
from hollycart_core.base._clock import ManualClock
from hollycart_core.base._clock import SystemClock
from hollycart_core.base._deadline import Deadline
from hollycart_core.base._errors import BodyTimeoutError
from hollycart_core.base._errors import DeadlineExceededError
from hollycart_core.base._errors import EndpointFailedError
from hollycart_core.base._errors import EndpointUnreachableError
from hollycart_core.base._errors import HollycartError
from hollycart_core.base._errors import InvalidRequestError
from hollycart_core.base._errors import InvalidSettingsError
from hollycart_core.base._errors import InvalidTableError
from hollycart_core.base._errors import InvariantError
from hollycart_core.base._errors import KeyReusedError
from hollycart_core.base._errors import KvAnswerLostError
from hollycart_core.base._errors import KvUnavailableError
from hollycart_core.base._errors import LeaseLostError
from hollycart_core.base._errors import MethodNotAllowedError
from hollycart_core.base._errors import NoEndpointError
from hollycart_core.base._errors import NotExecutedError
from hollycart_core.base._errors import NotFoundError
from hollycart_core.base._errors import NotRunError
from hollycart_core.base._errors import OutcomeUnknownError
from hollycart_core.base._errors import OverloadedError
from hollycart_core.base._errors import PayloadTooLargeError
from hollycart_core.base._errors import PeerUnreachableError
from hollycart_core.base._errors import QuarantinedError
from hollycart_core.base._errors import RateLimitedError
from hollycart_core.base._errors import SilentEndpointError
from hollycart_core.base._errors import StaleConfigError
from hollycart_core.base._errors import StoppingError
from hollycart_core.base._errors import StoreFullError
from hollycart_core.base._errors import UnauthorizedError
from hollycart_core.base._errors import VersionConflictError
from hollycart_core.base._ids import AttemptId
from hollycart_core.base._ids import AttemptIdGenerator
from hollycart_core.base._invariant import check_invariant
from hollycart_core.base._invariant import invariant_checks
from hollycart_core.base._loop import PeriodicTask
from hollycart_core.base._loop_guard import LoopGuard
from hollycart_core.base._loop_watch import LoopWatch
from hollycart_core.base._machine import machine_memory_bytes
from hollycart_core.base._machine import max_descriptors
from hollycart_core.base._outcome import Done
from hollycart_core.base._outcome import NotRun
from hollycart_core.base._outcome import Outcome
from hollycart_core.base._outcome import Unknown
from hollycart_core.base._parsing import parse
from hollycart_core.base._rendezvous import rendezvous_rank
from hollycart_core.base._work_meter import WorkMeter

__all__ = [
    "LoopGuard",
    "LoopWatch",
    "WorkMeter",
    "AttemptId",
    "AttemptIdGenerator",
    "BodyTimeoutError",
    "BootClock",
    "Clock",
    "Deadline",
    "DeadlineExceededError",
    "Done",
    "EndpointFailedError",
    "EndpointUnreachableError",
    "HollycartError",
    "InvalidRequestError",
    "InvalidSettingsError",
    "InvalidTableError",
    "InvariantError",
    "KeyReusedError",
    "KvAnswerLostError",
    "KvUnavailableError",
    "LeaseLostError",
    "ManualClock",
    "MethodNotAllowedError",
    "NoEndpointError",
    "NotExecutedError",
    "NotFoundError",
    "NotRun",
    "NotRunError",
    "Outcome",
    "OutcomeUnknownError",
    "OverloadedError",
    "PayloadTooLargeError",
    "PeerUnreachableError",
    "PeriodicTask",
    "QuarantinedError",
    "RateLimitedError",
    "SilentEndpointError",
    "StaleConfigError",
    "StoppingError",
    "StoreFullError",
    "SystemClock",
    "UnauthorizedError",
    "Unknown",
    "VersionConflictError",
    "check_invariant",
    "invariant_checks",
    "parse",
    "rendezvous_rank",
    "machine_memory_bytes",
    "max_descriptors",
]
