"""The pool scheduler: fair queue, placement, permits, memory accounting."""

from hollycart_core.scheduling._endpoint import PREFILL_CHUNK_TOKENS
from hollycart_core.scheduling._endpoint import EndpointLoad
from hollycart_core.scheduling._fair_queue import FairQueue
from hollycart_core.scheduling._fair_queue import QueuedRequest
from hollycart_core.scheduling._policy import POLICIES
from hollycart_core.scheduling._policy import Candidate
from hollycart_core.scheduling._policy import PlacementPolicy
from hollycart_core.scheduling._policy import PoolLoad
from hollycart_core.scheduling._policy import SplitPolicy
from hollycart_core.scheduling._pool import PERMIT_LIFETIME_MS
from hollycart_core.scheduling._pool import Pool
from hollycart_core.scheduling._prefix_index import BLOCK_TOKENS
from hollycart_core.scheduling._prefix_index import PrefixIndex
from hollycart_core.scheduling._rate_limiter import RateLimiter
from hollycart_core.scheduling._types import LONG_TOKENS
from hollycart_core.scheduling._types import SHORT_TOKENS
from hollycart_core.scheduling._types import EndpointInfo
from hollycart_core.scheduling._types import EndpointReport
from hollycart_core.scheduling._types import HeldSequence
from hollycart_core.scheduling._types import LivePermit
from hollycart_core.scheduling._types import Permit
from hollycart_core.scheduling._types import PermitDecision
from hollycart_core.scheduling._types import PermitRequest
from hollycart_core.scheduling._types import Refusal

__all__ = [
    "BLOCK_TOKENS",
    "LONG_TOKENS",
    "PERMIT_LIFETIME_MS",
    "POLICIES",
    "PREFILL_CHUNK_TOKENS",
    "SHORT_TOKENS",
    "Candidate",
    "EndpointLoad",
    "EndpointInfo",
    "EndpointReport",
    "FairQueue",
    "HeldSequence",
    "LivePermit",
    "Permit",
    "PermitDecision",
    "PermitRequest",
    "PlacementPolicy",
    "Pool",
    "PoolLoad",
    "PrefixIndex",
    "QueuedRequest",
    "RateLimiter",
    "Refusal",
    "SplitPolicy",
]
