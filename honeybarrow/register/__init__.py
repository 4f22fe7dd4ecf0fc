"""The register of partners: its wire, the list held, and the client that keeps it up to date."""

from honeybarrow.register.client import RegisterClient
from honeybarrow.register.directory import Directory, ListError
from honeybarrow.register.schema import LINE_LIMIT, Address, Ask, News, Partner, Row, place_of

__all__ = [
    "LINE_LIMIT",
    "Address",
    "Ask",
    "Directory",
    "ListError",
    "News",
    "Partner",
    "RegisterClient",
    "Row",
    "place_of",
]
