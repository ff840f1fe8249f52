"""Stand-in for a model engine, with a modelled step time."""

from hollycart_bench.engine._app import EngineApp
from hollycart_bench.engine._batcher import Batcher
from hollycart_bench.engine._batcher import Step
from hollycart_bench.engine._orders import OrderState
from hollycart_bench.engine._sequence import Sequence
from hollycart_bench.engine._step_model import StepModel
from hollycart_bench.engine._text import block_hashes
from hollycart_bench.engine._text import prompt_digest
from hollycart_bench.engine._text import prompt_tokens
from hollycart_bench.engine._text import token_at

__all__ = [
    "Batcher",
    "EngineApp",
    "OrderState",
    "Sequence",
    "Step",
    "StepModel",
    "block_hashes",
    "prompt_digest",
    "prompt_tokens",
    "token_at",
]
