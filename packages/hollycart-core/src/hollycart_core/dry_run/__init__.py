"""Question where a request would be sent, and its answer, as sent in JSON."""

from hollycart_core.dry_run._types import Answer
from hollycart_core.dry_run._types import Candidate
from hollycart_core.dry_run._types import Chosen
from hollycart_core.dry_run._types import Exclusion
from hollycart_core.dry_run._types import Failure
from hollycart_core.dry_run._types import Offer
from hollycart_core.dry_run._types import Omitted
from hollycart_core.dry_run._types import Query
from hollycart_core.dry_run._types import Refusal

__all__ = [
    "Answer",
    "Candidate",
    "Chosen",
    "Exclusion",
    "Failure",
    "Offer",
    "Omitted",
    "Query",
    "Refusal",
]
