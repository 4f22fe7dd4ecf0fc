"""Parsing and encoding of the lines, commands, paths and replies of SMTP and LMTP.

Sources: RFC 5321 (commands 4.1.1, replies 4.2, limits 4.5.3), RFC 2033 (LMTP), RFC 2034 and 3463
(enhanced codes), RFC 1870 (SIZE), RFC 6152 (8BITMIME), RFC 2852 (DELIVERBY).
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field

from honeybarrow.errors import HoneybarrowError

CRLF = b"\r\n"


class GrammarError(HoneybarrowError, ValueError):
    """The input violates the SMTP grammar; ``reply`` is the server's reply to it."""

    code = "HB202"
    remedy = "the client receives the reply; if it is a program of yours, check its mail library"

    def __init__(self, reply: Reply) -> None:
        super().__init__(reply.text)
        self.reply = reply


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply: code (RFC 5321 4.2), enhanced code (RFC 3463; empty if absent) and text.

    ``wait_ms``, ``load`` and ``duplicate_window_ms`` are carried by the XADVICE extension (``docs/mail.md``).
    ``wait_ms``: retry delay in milliseconds. ``load``: the unused fraction of the rate limit, and the limit
    in calls per second. ``duplicate_window_ms``: with a failure, how long the server still discards a
    repetition, in milliseconds. ``lines``: the further lines of a multi-line reply.
    """

    code: int
    enhanced: str = ""
    text: str = ""
    wait_ms: int = 0
    load: tuple[float, ...] = ()
    lines: tuple[str, ...] = field(default=())
    duplicate_window_ms: int = 0

    @property
    def is_positive(self) -> bool:
        """Whether the command was accepted or may continue (2yz and 3yz, RFC 5321 4.2.1)."""
        return 200 <= self.code < 400

    @property
    def is_permanent(self) -> bool:
        """Whether a retry can't succeed: addressing (X.1.x) and security or policy (X.7.x) failures."""
        return self.code >= 500 and self.enhanced.startswith(("5.1.", "5.7."))

    @property
    def is_capacity_refusal(self) -> bool:
        """Whether the server lacks capacity, by the enhanced code, or by the code if there is none."""
        if not 400 <= self.code < 500:
            return False
        if self.wait_ms > 0 or self.enhanced in CAPACITY_ENHANCED_CODES:
            return True
        return not self.enhanced and self.code in CAPACITY_CODES

    def _advice_fields(self) -> list[str]:
        numbers = (("wait", self.wait_ms), ("within", self.duplicate_window_ms))
        parts = [f"{name}={value}" for name, value in numbers if value > 0]
        if self.load:
            parts.append("load=" + ",".join(f"{value:g}" for value in self.load))
        return parts

    def encode(self, advice: bool = False) -> bytes:
        """Encode the reply; the XADVICE part is included only with ``advice``."""
        words = [self.enhanced] if self.enhanced else []
        if advice and (parts := self._advice_fields()):
            words.append("[" + " ".join(parts) + "]")
        head = " ".join([*words, sanitize(self.text)]).rstrip()
        rows = [head, *(sanitize(line) for line in self.lines)]
        last = len(rows) - 1
        return b"".join(
            f"{self.code}{'-' if i < last else ' '}{row}".encode("ascii", "replace") + CRLF
            for i, row in enumerate(rows)
        )


# System full, not accepting messages, congestion, too many recipients (RFC 3463 3.4 to 3.6).
CAPACITY_ENHANCED_CODES = frozenset({"4.3.1", "4.3.2", "4.4.5", "4.5.3"})
CAPACITY_CODES = frozenset({421, 450, 452})
MAX_REPLY_TEXT_CHARS = 400  # keeps a reply line within 512 bytes (RFC 5321 4.5.3.1.5)
ENHANCED_CODE_PATTERN = re.compile(r"([245])\.(\d{1,3})\.(\d{1,3})(?:\s+|$)")
ADVICE_FIELD = r"(?:wait=\d{1,9}|within=\d{1,9}|load=[0-9.,eE+-]{1,60})"
ADVICE_PATTERN = re.compile(rf"\[({ADVICE_FIELD}(?: {ADVICE_FIELD}){{0,2}})\]\s*")


def sanitize(text: str) -> str:
    """Return at most ``MAX_REPLY_TEXT_CHARS`` characters of ``text``, with all but printable ASCII replaced.

    Keeps the text of a peer from injecting lines into the protocol or the log.
    """
    return "".join(c if " " <= c <= "~" else "?" for c in text[:MAX_REPLY_TEXT_CHARS])


@dataclass(frozen=True, slots=True)
class Advice:
    """The XADVICE part of a reply. The fields are those of :class:`Reply`."""

    wait_ms: int = 0
    duplicate_window_ms: int = 0
    load: tuple[float, ...] = ()


def read_advice(text: str) -> tuple[str, Advice]:
    """Split a reply's text into plain text and XADVICE part. A malformed part remains in the text."""
    match = ADVICE_PATTERN.match(text)
    if not match:
        return text, Advice()
    parts = dict(part.split("=", 1) for part in match.group(1).split(" "))
    try:
        load = tuple(float(item) for item in parts["load"].split(",")) if "load" in parts else ()
    except ValueError:
        return text, Advice()
    if any(not math.isfinite(item) or abs(item) > MAX_ADVICE_LOAD for item in load):
        return text, Advice()
    advice = Advice(int(parts.get("wait", 0)), int(parts.get("within", 0)), load)
    return text[match.end() :], advice


MAX_ADVICE_LOAD = 1e9


class ReplyReader:
    """Assembles the lines of a server into replies (RFC 5321 4.2.1)."""

    MAX_LINES = 100

    def __init__(self) -> None:
        self._rows: list[str] = []
        self._code = 0

    def feed(self, line: bytes) -> Reply | None:
        """Add one line without its CRLF; return the reply if the line completes it.

        Raises :class:`InvalidReplyError` for a line without a valid code, differing codes within a reply,
        too many lines, and a bare CR, LF or NUL.
        """
        if len(line) < 3 or not line[:3].isdigit() or not 200 <= int(line[:3]) <= 599:
            raise InvalidReplyError(f"no reply code in {sanitize(line[:60].decode('latin-1'))!r}")
        if len(line) > 3 and line[3:4] not in b" -":
            raise InvalidReplyError(
                f"neither space nor hyphen after the code in {sanitize(line[:60].decode('latin-1'))!r}"
            )
        if b"\r" in line or b"\n" in line or b"\0" in line:
            raise InvalidReplyError("bare CR, LF or NUL in a reply")
        code = int(line[:3])
        if self._rows and code != self._code:
            raise InvalidReplyError(f"codes {self._code} and {code} in one reply")
        self._code = code
        self._rows.append(line[4:].decode("latin-1"))
        if line[3:4] == b"-":
            if len(self._rows) > self.MAX_LINES:
                raise InvalidReplyError("a reply of too many lines")
            return None
        rows, self._rows = self._rows, []
        first, enhanced = rows[0], ""
        match = ENHANCED_CODE_PATTERN.match(first)
        # An enhanced code whose class differs from that of the code is plain text (RFC 2034 4).
        if match and match.group(1) == str(code)[0]:
            enhanced, first = match.group(0).strip(), first[match.end() :]
        text, advice = read_advice(first)
        return Reply(
            code, enhanced, text, advice.wait_ms, advice.load, tuple(rows[1:]), advice.duplicate_window_ms
        )


class InvalidReplyError(HoneybarrowError, ValueError):
    """A server's reply violates the grammar, so the result of the command is unknown."""

    code = "HB203"
    remedy = (
        "the result of the call is unknown if the end of data was written; report the protocol violation to "
        "the operator of the partner's server"
    )


SYNTAX_ERROR = Reply(501, "5.5.4", "syntax error in parameters")
UNKNOWN_COMMAND = Reply(500, "5.5.1", "command not recognized")
BARE_CONTROL_CHARACTER = Reply(500, "5.5.2", "bare CR, LF or NUL in a command")
COMMAND_LINE_TOO_LONG = Reply(500, "5.5.2", "line too long")
INVALID_SENDER_ADDRESS = Reply(501, "5.1.7", "bad address syntax")
INVALID_RECIPIENT_ADDRESS = Reply(501, "5.1.3", "bad address syntax")


@dataclass(frozen=True, slots=True)
class Command:
    """A command line: the verb in upper case and its parameters as text."""

    verb: str
    rest: str = ""


def read_command(line: bytes) -> Command:
    """Parse a line without its CRLF as a command (RFC 5321 4.1.1). Raises :class:`GrammarError`."""
    if b"\r" in line or b"\n" in line or b"\0" in line:
        raise GrammarError(BARE_CONTROL_CHARACTER)
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise GrammarError(Reply(500, "5.5.2", "a command must be ASCII")) from None
    verb, _, rest = text.rstrip(" \t").partition(" ")
    if not verb.isalpha():
        raise GrammarError(UNKNOWN_COMMAND)
    return Command(verb.upper(), rest.strip(" "))


@dataclass(frozen=True, slots=True)
class Path:
    """A mailbox (RFC 5321 4.1.2). Both parts are empty for the null reverse-path."""

    local: str
    domain: str

    def __str__(self) -> str:
        return f"{self.local}@{self.domain}" if self.local or self.domain else ""


ATEXT = r"[A-Za-z0-9!#$%&'*+/=?^_`{|}~-]+"
LABEL = r"[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
MAILBOX_PATTERN = re.compile(
    rf'((?:{ATEXT}(?:\.{ATEXT})*)|"(?:[ !#-\[\]-~]|\\[ -~])*")'
    rf"@((?:{LABEL}(?:\.{LABEL})*)|\[[A-Za-z0-9:.]{{1,60}}\])"
)
SOURCE_ROUTE_PATTERN = re.compile(rf"(?:@{LABEL}(?:\.{LABEL})*)(?:,@{LABEL}(?:\.{LABEL})*)*:")
MAX_LOCAL_PART_CHARS, MAX_DOMAIN_CHARS, MAX_PATH_CHARS = 64, 255, 256  # RFC 5321 4.5.3.1


def read_path(text: str, keyword: str, invalid_reply: Reply) -> tuple[Path, str]:
    """Parse ``FROM:<path>`` or ``TO:<path>``; return the path and the text that follows it.

    ``keyword`` is ``FROM:`` or ``TO:``. A source route is ignored (RFC 5321 appendix C). Raises
    :class:`GrammarError`, with ``invalid_reply`` for an invalid path.
    """
    if text[: len(keyword)].upper() != keyword:
        raise GrammarError(SYNTAX_ERROR)
    body = text[len(keyword) :].lstrip(" ")
    if not body.startswith("<"):
        raise GrammarError(invalid_reply)
    end = _find_path_end(body)
    if end < 0:
        raise GrammarError(invalid_reply)
    inner, rest = body[1:end], body[end + 1 :]
    if rest and not rest.startswith(" "):
        raise GrammarError(SYNTAX_ERROR)
    if not inner:
        return Path("", ""), rest.strip()
    route = SOURCE_ROUTE_PATTERN.match(inner)
    inner = inner[route.end() :] if route else inner
    match = MAILBOX_PATTERN.fullmatch(inner)
    if not match:
        raise GrammarError(invalid_reply)
    local, domain = match.group(1), match.group(2).lower()
    if len(local) > MAX_LOCAL_PART_CHARS or len(domain) > MAX_DOMAIN_CHARS or len(inner) + 2 > MAX_PATH_CHARS:
        raise GrammarError(invalid_reply)
    return Path(local, domain), rest.strip()


def _find_path_end(body: str) -> int:
    """Return the index of the bracket that ends a path, ignoring quoted strings, or -1 if there is none."""
    is_quoted, index = False, 1
    while index < len(body):
        if body[index] == "\\" and is_quoted:
            index += 1
        elif body[index] == '"':
            is_quoted = not is_quoted
        elif body[index] == ">" and not is_quoted:
            return index
        index += 1
    return -1


def read_address(text: str) -> Path:
    """Parse ``local@domain``, or empty text for the null path. Raises ``ValueError``."""
    try:
        path, rest = read_path(f"TO:<{text}>", "TO:", INVALID_RECIPIENT_ADDRESS)
    except GrammarError:
        rest = text
    if rest:
        raise ValueError(f"{sanitize(text)!r} is not an address of the form local@domain")
    return path


@dataclass(frozen=True, slots=True)
class MailParameters:
    """The parameters of MAIL.

    ``is_eight_bit``: BODY=8BITMIME; ``deliver_by_s``: time limit of BY in seconds; ``is_by_return``: whether
    the mode of BY is R (return); ``envelope_id``: ENVID, still encoded as xtext.
    """

    size_bytes: int = 0
    is_eight_bit: bool = False
    deliver_by_s: int | None = None
    is_by_return: bool = False
    envelope_id: str = ""


# RFC 3461 4; an ENVID has at most 100 characters.
XTEXT_PATTERN = re.compile(r"(?:[!-*,-<>-~]|\+[0-9A-F]{2}){1,100}")
BY_PATTERN = re.compile(r"(-?\d{1,9});([RN])T?", re.IGNORECASE)


def read_mail_parameters(text: str) -> MailParameters:
    """Parse the parameters ``SIZE``, ``BODY``, ``BY`` and ``ENVID`` of MAIL. Raises :class:`GrammarError`."""
    size_bytes, is_eight_bit, deliver_by_s, is_by_return, envelope_id = 0, False, None, False, ""
    seen_names: set[str] = set()
    for word in text.split():
        name, _, value = word.partition("=")
        name = name.upper()
        if name in seen_names:
            raise GrammarError(SYNTAX_ERROR)
        seen_names.add(name)
        if name == "SIZE" and value.isdigit() and len(value) <= 20:
            size_bytes = int(value)
        elif name == "BODY" and value.upper() in ("7BIT", "8BITMIME"):
            is_eight_bit = value.upper() == "8BITMIME"
        elif name == "BY" and (match := BY_PATTERN.fullmatch(value)):
            deliver_by_s, is_by_return = int(match.group(1)), match.group(2).upper() == "R"
            if is_by_return and deliver_by_s <= 0:  # RFC 2852 4 requires a positive time in mode R
                raise GrammarError(SYNTAX_ERROR)
        elif name == "ENVID" and XTEXT_PATTERN.fullmatch(value):
            envelope_id = value
        elif name in ("SIZE", "BODY", "BY", "ENVID"):
            raise GrammarError(SYNTAX_ERROR)
        else:
            raise GrammarError(Reply(555, "5.5.4", "parameter not implemented"))
    return MailParameters(size_bytes, is_eight_bit, deliver_by_s, is_by_return, envelope_id)


def stuff_dots(content: bytes) -> bytes:
    """Dot-stuff content with CRLF line ends (RFC 5321 4.5.2) and append the end of data."""
    if content and not content.endswith(CRLF):
        content += CRLF
    stuffed = content.replace(b"\r\n.", b"\r\n..")
    return (b"." if stuffed.startswith(b".") else b"") + stuffed + b".\r\n"
