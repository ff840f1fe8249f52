"""Finds the cause of a failed or late request in the instances' logs."""

from hollycartctl.diagnosis._explain import Explanation
from hollycartctl.diagnosis._explain import explain
from hollycartctl.diagnosis._lines import LogLine
from hollycartctl.diagnosis._lines import read_lines

__all__ = ["Explanation", "LogLine", "explain", "read_lines"]
