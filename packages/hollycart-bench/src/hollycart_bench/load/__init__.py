"""Load generator: workloads, request plans, HTTP client and summaries."""

from hollycart_bench.load._client import CallResult
from hollycart_bench.load._client import LoadClient
from hollycart_bench.load._plan import PREFILL_TOKENS_PER_MS
from hollycart_bench.load._plan import LoadRequest
from hollycart_bench.load._plan import PlanSpec
from hollycart_bench.load._plan import make_plan
from hollycart_bench.load._plan import make_prompt
from hollycart_bench.load._summary import BANDS
from hollycart_bench.load._summary import first_token_table
from hollycart_bench.load._summary import format_table
from hollycart_bench.load._summary import outcome_table
from hollycart_bench.load._summary import percentile
from hollycart_bench.load._workload import GUILD
from hollycart_bench.load._workload import HINOKUNI
from hollycart_bench.load._workload import WORKLOADS
from hollycart_bench.load._workload import Workload

__all__ = [
    "BANDS",
    "GUILD",
    "HINOKUNI",
    "PREFILL_TOKENS_PER_MS",
    "WORKLOADS",
    "CallResult",
    "LoadClient",
    "LoadRequest",
    "PlanSpec",
    "Workload",
    "first_token_table",
    "format_table",
    "make_plan",
    "make_prompt",
    "outcome_table",
    "percentile",
]
