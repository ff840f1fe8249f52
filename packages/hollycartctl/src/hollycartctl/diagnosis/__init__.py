"""Finds the causes of failed or late requests in the instances' logs."""

from hollycartctl.diagnosis._explain import Explanation
from hollycartctl.diagnosis._explain import explain
from hollycartctl.diagnosis._lines import LogLine
from hollycartctl.diagnosis._lines import read_lines
from hollycartctl.diagnosis._report import render_report
from hollycartctl.diagnosis._summary import FirstEvents
from hollycartctl.diagnosis._summary import Summary
from hollycartctl.diagnosis._summary import summarize
from hollycartctl.diagnosis._where import format_where

__all__ = [
    "Explanation",
    "FirstEvents",
    "LogLine",
    "Summary",
    "explain",
    "format_where",
    "read_lines",
    "render_report",
    "summarize",
]
