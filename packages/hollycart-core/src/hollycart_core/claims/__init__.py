"""Claims that let a non-idempotent call run at most once."""

from hollycart_core.claims._ledger import SHARDS
from hollycart_core.claims._ledger import ClaimLedger
from hollycart_core.claims._ledger import shard_of
from hollycart_core.claims._log import ClaimLog
from hollycart_core.claims._records import ClaimDecision
from hollycart_core.claims._records import ClaimRecord
from hollycart_core.claims._records import ClaimRequest
from hollycart_core.claims._records import ClaimState
from hollycart_core.claims._records import Granted
from hollycart_core.claims._records import KeyReused
from hollycart_core.claims._records import Pending
from hollycart_core.claims._records import Settled
from hollycart_core.claims._records import SettleRequest
from hollycart_core.claims._shard import ClaimShard

__all__ = [
    "SHARDS",
    "ClaimDecision",
    "ClaimLedger",
    "ClaimLog",
    "ClaimRecord",
    "ClaimRequest",
    "ClaimShard",
    "ClaimState",
    "Granted",
    "KeyReused",
    "Pending",
    "SettleRequest",
    "Settled",
    "shard_of",
]
