"""The encoding xtext of envelope ids (RFC 3461 4)."""

from __future__ import annotations

import re

_HEX_CHARACTER = re.compile(rb"\+([0-9A-F]{2})")


def encode_xtext(text: str) -> str:
    """Encode text as xtext. Characters outside ASCII are encoded as the bytes of their UTF-8 form."""
    return "".join(
        chr(byte) if 0x21 <= byte <= 0x7E and byte not in b"+=" else f"+{byte:02X}"
        for byte in text.encode("utf-8", "surrogatepass")
    )


def decode_xtext(text: str) -> str:
    """Return the text that valid xtext stands for; each text has several encodings."""
    decoded = _HEX_CHARACTER.sub(lambda match: bytes.fromhex(match[1].decode()), text.encode("ascii"))
    return decoded.decode("utf-8", "surrogateescape")
