"""The cost of reading a peer's bytes grows in proportion to their number.

One thread serves all connections, so a reader whose cost grows faster stops the process for everybody
(``docs/incidents/2026-12-04-field-whitespace.md``).
"""

from __future__ import annotations

import contextlib
import gc
import importlib
import json
import re
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

import honeybarrow
from honeybarrow import http
from honeybarrow.http.grammar import GrammarError, parse_fields
from honeybarrow.node.endpoint_list import EndpointListError, WatchReader, parse_item

SIZES = (128, 512, 2048, 8192)  # bytes; each is four times the one before
MAX_GROWTH = 5.0  # of the cost at four times the length, in the mean of all steps up to a size
ROUNDS = 8  # of measurements, the least growth of which counts
MIN_DURATION_S = 0.0002  # of one measurement, so that the resolution of the clock doesn't matter
# Below this cost, growth is noise of allocations and caches; a cost that grows with the square passes it.
NEGLIGIBLE_COST_S = 0.001


@pytest.fixture(autouse=True)
def _no_garbage_collection() -> Iterator[None]:
    """Keep collections, which visit the objects of all other tests, out of the measured cost."""
    gc.disable()
    yield
    gc.enable()


def measure_cost(read: Callable[[], object]) -> float:
    """Return the processor time of one call in seconds."""
    started_s = time.thread_time()
    read()
    cost_s = time.thread_time() - started_s
    repeats = int(MIN_DURATION_S / max(cost_s, 1e-7))
    if repeats == 0:
        return cost_s
    started_s = time.thread_time()
    for _ in range(repeats):
        read()
    return (time.thread_time() - started_s) / repeats


def find_growth(reads: list[Callable[[], object]]) -> str:
    """Describe the first cost that is too high for its size; return an empty string if there is none."""
    costs: list[float] = []
    for step, read in enumerate(reads):
        costs.append(measure_cost(read))
        if costs[-1] > max(MAX_GROWTH**step * costs[0], NEGLIGIBLE_COST_S):
            return f"costs of {costs} s at sizes that are each four times the one before"
    return ""


def assert_linear(make_read: Callable[[int], Callable[[], object]], sizes: tuple[int, ...] = SIZES) -> None:
    """Fail if the cost grows faster than the size in each round.

    A core can change to half its speed when another one gets busy, so costs are compared within a round only.
    """
    reads = [make_read(size) for size in sizes]
    growths = []
    for _ in range(ROUNDS):
        growths.append(find_growth(reads))
        if not growths[-1]:
            return
    raise AssertionError(growths[-1])


# Packages that read bytes of clients, endpoints, discovery and other processes.
READER_PACKAGES = ("http", "node", "mail", "mail_front", "register", "fleet", "consensus", "admission")
ALPHABET = ("a", "0", " ", "\t", '"', "\\", ".", ",", "=", "-", "@", ":", "+", "[", "{", "\xe4")
# Of each expression: texts that match up to a repetition, and further texts that are repeated there.
PATTERN_PREFIXES: dict[str, tuple[tuple[str, ...], tuple[str, ...]]] = {
    "http.client._CHUNK_SIZE": (("", "0"), ()),
    "http.client._STATUS_LINE": (("HTTP/1.1 200", "HTTP/1.1 200 "), ()),
    "http.client._STATUS_LINE_START": (("", "HTTP/1.1 "), ("HTTP/1.",)),
    "http.grammar._FIELD": (("", "a", "a:", "a: a"), (" a", "\t ", "a ")),
    "http.server._REQUEST_LINE": (("", "POST /", "POST /a "), ("A", "/")),
    "mail.grammar.ADVICE_PATTERN": (("", "[wait=1 ", "[load=", "[wait=1]"), (" wait=1", "1,")),
    "mail.grammar.BY_PATTERN": (("", "-"), ()),
    "mail.grammar.ENHANCED_CODE_PATTERN": (("", "4.0.0"), ("4.", " \t")),
    "mail.grammar.MAILBOX_PATTERN": (("", "a", '"', "a@", "a@a", "a@["), ("a.", ".a", "\\a", '\\"', "a-")),
    "mail.grammar.SOURCE_ROUTE_PATTERN": (("", "@a", "@a,"), ("@a,", ".a", "a-", ",@a")),
    "mail.grammar.XTEXT_PATTERN": (("",), ("+41", "!")),
    "mail.xtext._HEX_CHARACTER": (("", "+"), ("+41", "+4", "+")),
    "node.endpoint_list._STRING": (('"', '"a'), ('\\"', "\\\\")),
    "node.endpoint_list._STRING_OR_BRACKET": (("", '"', '{"a'), ('\\"', '"a', '""', '{"', "\\\\")),
    "node.http_connection._END": (("",), ("HTTP/1.1 ", "HTTP/")),
    "node.request_parser._CONSIGNEE": (("", "a=", "dest=1,"), ("a=,", "a=, ", "dest=1,", "a,")),
    "node.request_parser._MESSAGE_ID": (("",), ()),
    "node.request_parser._TIME_LEFT": (("",), ("0m",)),
    "node.surplus_responses._STATUS_LINE_START": (("",), ("HTTP/1.1 ",)),
}
# The method with which the program uses an expression, if it isn't ``fullmatch``.
METHODS = {
    "http.client._STATUS_LINE_START": "search",
    "mail.grammar.ADVICE_PATTERN": "match",
    "mail.grammar.BY_PATTERN": "match",
    "mail.grammar.ENHANCED_CODE_PATTERN": "match",
    "mail.grammar.MAILBOX_PATTERN": "match",
    "mail.grammar.SOURCE_ROUTE_PATTERN": "match",
    "mail.xtext._HEX_CHARACTER": "findall",
    "node.endpoint_list._STRING_OR_BRACKET": "findall",
    "node.http_connection._END": "findall",
    "node.surplus_responses._STATUS_LINE_START": "findall",
}


def _reader_modules() -> Iterator[tuple[str, Path]]:
    """Yield the name below the package and the file of each module that may read a peer's bytes."""
    root = Path(honeybarrow.__path__[0])
    for package in READER_PACKAGES:
        for path in sorted((root / package).glob("*.py")):
            yield f"{package}.{path.stem}", path


def _patterns() -> dict[str, re.Pattern[str] | re.Pattern[bytes]]:
    """Return the expressions of the modules that read a peer's bytes, by module and name."""
    found: dict[str, re.Pattern[str] | re.Pattern[bytes]] = {}
    for module_name, path in _reader_modules():
        if "import re\n" in path.read_text():
            for name, value in vars(importlib.import_module(f"honeybarrow.{module_name}")).items():
                if isinstance(value, re.Pattern):
                    found[f"{module_name}.{name}"] = value
    return found


def test_each_expression_that_reads_bytes_of_a_peer_is_named_and_listed_here() -> None:
    """Guards against an expression that no test of growth covers."""
    assert sorted(_patterns()) == sorted(PATTERN_PREFIXES)
    unnamed = re.compile(r"\bre\.(match|fullmatch|search|findall|finditer|split|sub)\(")
    assert [name for name, path in _reader_modules() if unnamed.search(path.read_text())] == []


@pytest.mark.parametrize("name", sorted(PATTERN_PREFIXES))
def test_the_cost_of_an_expression_grows_in_proportion(name: str) -> None:
    """Guards against an expression that tries all divisions of a run when a later byte doesn't match."""
    pattern, (prefixes, repeated) = _patterns()[name], PATTERN_PREFIXES[name]
    for prefix in prefixes:
        for unit in (*ALPHABET, *repeated):

            def make_read(size: int, prefix: str = prefix, unit: str = unit) -> Callable[[], object]:
                text = prefix + unit * (size // len(unit)) + "\x00"
                subject = text.encode("latin-1") if isinstance(pattern.pattern, bytes) else text
                match: Callable[[object], object] = getattr(pattern, METHODS.get(name, "fullmatch"))
                return lambda: match(subject)

            assert_linear(make_read)


def _read_request(data: bytes, piece_bytes: int) -> None:
    reader = http.RequestReader()
    for start in range(0, len(data), piece_bytes):
        reader.receive(data[start : start + piece_bytes])
        reader.next_event()


def _read_response(data: bytes, piece_bytes: int) -> None:
    reader = http.ResponseReader()
    for start in range(0, len(data), piece_bytes):
        reader.receive(data[start : start + piece_bytes])


HEAD_FILLERS = (b" ", b"\t", b" \t", b"a", b"\xff", b"\r\nA: ", b"\r\nA:a", b",", b"\r\n ")


@pytest.mark.parametrize("read", [_read_request, _read_response])
@pytest.mark.parametrize("filler", HEAD_FILLERS)
@pytest.mark.parametrize("ending", [b"\x00\r\n\r\n", b"\r\n\r\n", b""])
@pytest.mark.parametrize("pieces", [1, 64])
def test_the_cost_of_a_head_grows_in_proportion(
    read: Callable[[bytes, int], None], filler: bytes, ending: bytes, pieces: int
) -> None:
    """Guards against review case 1: one unreadable head of 4,056 bytes stopped the process for minutes."""
    start = b"POST /a HTTP/1.1\r\nA: " if read is _read_request else b"HTTP/1.1 200 OK\r\nA: "

    def make_read(size: int) -> Callable[[], object]:
        data = start + filler * (size // len(filler)) + ending
        return lambda: read(data, 1 + len(data) // pieces)

    assert_linear(make_read, (125, 500, 2000, 8000))


def _make_list_item(size: int, indent: int | None) -> bytes:
    entry = {"name": "s", "address": "10.0.0.1:9", "group": 7, "status": "active"}
    value = {"index": 1, "snapshot": True, "endpoints": [entry] * (size // len(json.dumps(entry)))}
    return json.dumps(value, indent=indent).encode() + b"\n"


def _read_watch(data: bytes, piece_bytes: int) -> None:
    reader = WatchReader()
    with contextlib.suppress(EndpointListError):
        for start in range(0, len(data), piece_bytes):
            reader.receive(data[start : start + piece_bytes])


@pytest.mark.parametrize("indent", [None, 1])
@pytest.mark.parametrize(
    ("piece_bytes", "sizes"), [(1, (4_000, 16_000, 64_000)), (64, (16_000, 64_000, 256_000))]
)
def test_the_cost_of_a_list_in_pieces_grows_in_proportion(
    piece_bytes: int, sizes: tuple[int, ...], indent: int | None
) -> None:
    """Guards against a watch whose item is searched from its beginning for each piece that arrives."""

    def make_read(size: int) -> Callable[[], object]:
        data = _make_list_item(size, indent)
        return lambda: _read_watch(data, piece_bytes)

    assert_linear(make_read, sizes)


@pytest.mark.parametrize("unit", [b'\\"', b'"', b"{", b"[{", b'"a', b"\\\\", b"9", b"\n{"])
@pytest.mark.parametrize("start", [b"", b'{"a', b'{"index":', b'{"index":1,"endpoints":['])
def test_the_cost_of_a_spoilt_list_grows_in_proportion(start: bytes, unit: bytes) -> None:
    def make_read(size: int) -> Callable[[], object]:
        data = start + unit * (size // len(unit)) + b"\x00\n"
        return lambda: _read_watch(data, len(data))

    assert_linear(make_read)


def _read_items_as_before(data: bytes) -> list[object]:
    """Return the items of complete lines and the refusal, as the reader before the change read them."""
    items: list[object] = []
    item, open_brackets = b"", 0
    for line in data.split(b"\n")[:-1]:
        if not line.strip():
            if item:
                return [*items, "refused"]
            continue
        for token in re.findall(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]', line):
            open_brackets += (token in (b"{", b"[")) - (token in (b"}", b"]"))
        item += line + b"\n"
        if open_brackets <= 0:
            try:
                items.append(parse_item(item))
            except EndpointListError:
                return [*items, "refused"]
            item, open_brackets = b"", 0
    return items


_LIST_PARTS = [b'{"index":1,"endpoints":[]}', b"{", b"}", b"[", b"]", b'"', b"\\", b"a", b"\n", b"\n", b" "]


@given(st.lists(st.sampled_from(_LIST_PARTS), max_size=16), st.integers(1, 9))
def test_the_same_items_of_a_watch_are_accepted_as_before(parts: list[bytes], piece_bytes: int) -> None:
    # Empty lines at the end refuse what was left open, so that both have decided on everything.
    data = b"".join(parts) + b"\n\n"
    reader, items = WatchReader(), list[object]()
    try:
        for start in range(0, len(data), piece_bytes):
            items += reader.receive(data[start : start + piece_bytes])
    except EndpointListError:
        items.append("refused")
    before = _read_items_as_before(data)
    # An error discards the items that came in the same piece before it, as it did before.
    assert ("refused" in items) == ("refused" in before)
    assert [each for each in items if each != "refused"] == before[
        : len([e for e in items if e != "refused"])
    ]


# The expression before the incident: exact, and too slow for long runs of whitespace.
_FIELD_BEFORE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*")
_FIELD_BYTES = st.sampled_from([bytes([each]) for each in range(256)] + [b" ", b"\t", b":", b"a"] * 40)


@given(st.lists(_FIELD_BYTES, max_size=24))
def test_the_same_field_lines_are_accepted_as_before(parts: list[bytes]) -> None:
    line = b"".join(parts)
    match = _FIELD_BEFORE.fullmatch(line)
    try:
        fields = parse_fields([line])
    except GrammarError:
        assert match is None
    else:
        assert match is not None and fields == {match[1].lower(): match[2]}
