"""Fault soak of entry instances on the platform's protocol.

Instances, engines and the store are separate processes. Faults are injected
from outside: by signals, by the operator's changes and by proxies. A proxy
stands in front of each engine, and one between each instance and the store.
The guarantees are checked against what callers and engines recorded.
"""

from hollycart_bench.soak._engine import SoakEngine
from hollycart_bench.soak._judge import GUARANTEES
from hollycart_bench.soak._judge import check_guarantees
from hollycart_bench.soak._proxy import FaultProxy
from hollycart_bench.soak._record import Call
from hollycart_bench.soak._record import Evacuation
from hollycart_bench.soak._record import Fault
from hollycart_bench.soak._record import JournalEntry
from hollycart_bench.soak._record import LoopDelay
from hollycart_bench.soak._record import SoakRecord
from hollycart_bench.soak._runner import run_soak
from hollycart_bench.soak._slow_readers import run_slow_readers

__all__ = [
    "GUARANTEES",
    "Call",
    "Evacuation",
    "Fault",
    "FaultProxy",
    "JournalEntry",
    "LoopDelay",
    "SoakEngine",
    "SoakRecord",
    "check_guarantees",
    "run_slow_readers",
    "run_soak",
]
