"""The sample run of `make run` and the long-lived system of `make up`."""

from hollycart_bench.run._sample import run_sample
from hollycart_bench.run._up import run_up

__all__ = ["run_sample", "run_up"]
