"""Frames of streamed answers and their reassembly."""

from hollycart_core.streams._assembler import StreamAssembler
from hollycart_core.streams._frame import Frame

__all__ = ["Frame", "StreamAssembler"]
