"""HTTP/1.1 as bytes in and events out (RFC 9110, RFC 9112), for both sides, without any I/O.

One strict reader a side. What is sent to us is bounded in every part, and a request that two readers could
take differently is refused. Standard library only.
"""

from honeybarrow.http.client import Broken, Complete, Data, Head, ResponseReader, encode_request
from honeybarrow.http.grammar import BODY_MOST, GrammarError, parse_fields
from honeybarrow.http.server import Bad, Request, RequestReader, Waiting, closing, encode_response

__all__ = [
    "BODY_MOST",
    "Bad",
    "Broken",
    "Complete",
    "Data",
    "GrammarError",
    "Head",
    "Request",
    "RequestReader",
    "ResponseReader",
    "Waiting",
    "closing",
    "encode_request",
    "encode_response",
    "parse_fields",
]
