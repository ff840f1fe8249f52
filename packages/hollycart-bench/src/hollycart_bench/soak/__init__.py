"""Fault soak of entry instances on the platform's protocol.

Instances, engines and the store are processes of their own; faults come from
outside, by signals, by the operator and by a proxy in front of each target.
What is promised is judged by what callers and engines have seen.
"""

from hollycart_bench.soak._engine import SoakEngine
from hollycart_bench.soak._judge import PROMISES
from hollycart_bench.soak._judge import judge
from hollycart_bench.soak._proxy import Proxy
from hollycart_bench.soak._record import Call
from hollycart_bench.soak._record import EngineLine
from hollycart_bench.soak._record import Fault
from hollycart_bench.soak._record import SoakRecord
from hollycart_bench.soak._runner import run_soak

__all__ = [
    "PROMISES",
    "Call",
    "EngineLine",
    "Fault",
    "Proxy",
    "SoakEngine",
    "SoakRecord",
    "judge",
    "run_soak",
]
