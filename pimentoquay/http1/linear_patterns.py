"""Patterns of the parser whose time grows with the length of a line, and not with its square.

The parser's own pattern of a header line tries each way to divide a row of spaces, if an invalid
byte follows: 16,000 spaces took 1.3 s. The same holds for its pattern of a chunk's length. The ones
below accept the same lines, and never go back over a row of spaces.
"""

import re

from h11 import _readers

__all__ = ["CHUNK_HEADER", "HEADER_FIELD", "use_linear_patterns"]

HEADER_FIELD = re.compile(
    rb"(?P<field_name>[-!#$%&'*+.^_`|~0-9a-zA-Z]++):[ \t]*+"
    rb"(?P<field_value>(?:[^\x00\s]++(?:[ \t]++[^\x00\s]++)*+)?+)[ \t]*+"
)
"""One line of a head or of a trailer: name and value of a header."""

CHUNK_HEADER = re.compile(rb"(?P<chunk_size>[0-9A-Fa-f]{1,20})(?:(?P<chunk_ext>;.*)|[ \t]*+)\r\n")
"""The line with the length of a chunk."""


def use_linear_patterns() -> None:
    """Let all connections of the process use these patterns in place of the parser's own."""
    _readers.header_field_re = HEADER_FIELD
    _readers.chunk_header_re = CHUNK_HEADER
