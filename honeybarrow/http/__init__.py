"""Sans-I/O implementation of HTTP/1.1 (RFC 9110, RFC 9112) for clients and servers.

Both parsers are strict and limit the size of every part of a message. Requests that other parsers might
interpret differently are rejected, to prevent request smuggling.
"""

from honeybarrow.http.client import Complete, Data, Head, InvalidResponse, ResponseReader, encode_request
from honeybarrow.http.grammar import MAX_BODY_BYTES, GrammarError, parse_fields
from honeybarrow.http.server import (
    InvalidRequest,
    ReaderState,
    Request,
    RequestReader,
    encode_response,
    with_connection_close,
)

__all__ = [
    "MAX_BODY_BYTES",
    "Complete",
    "Data",
    "GrammarError",
    "Head",
    "InvalidRequest",
    "InvalidResponse",
    "ReaderState",
    "Request",
    "RequestReader",
    "ResponseReader",
    "encode_request",
    "encode_response",
    "parse_fields",
    "with_connection_close",
]
