"""Register of partners: its wire format, the current list, and the client that keeps the list up to date."""

from honeybarrow.register.client import RegisterClient
from honeybarrow.register.directory import ListError, PartnerDirectory
from honeybarrow.register.schema import (
    MAX_LINE_BYTES,
    EndpointAddress,
    EndpointEntry,
    ListRequest,
    ListUpdate,
    Partner,
    to_address,
)

__all__ = [
    "MAX_LINE_BYTES",
    "EndpointAddress",
    "EndpointEntry",
    "ListError",
    "ListRequest",
    "ListUpdate",
    "Partner",
    "PartnerDirectory",
    "RegisterClient",
    "to_address",
]
