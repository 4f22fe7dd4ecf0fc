"""The identity of a submitted message: its names for this forwarder and for the partner. Does no I/O.

A message is named by its client: by ``ENVID``, else by its Message-ID. The same message has the same names at
each submission, forwarder and start, so they contain no server name, counter or time. Another client,
recipient or body gives other names, because two programs may use one ENVID, and one batch has one for all
recipients.

| named by | ENVID for the partner | Message-ID for the partner |
| --- | --- | --- |
| ENVID, no Message-ID | derived | derived |
| ENVID and Message-ID | derived | the client's, unchanged |
| Message-ID | none | the client's, unchanged |
| nothing | none | new for each submission and recipient |

The derived names are a digest of client, ENVID, recipient and body. The ENVID of a client is not passed on as
it is: a partner that recognizes repeats by it would drop the message of another client or recipient. The
fronts do not offer DSN, so it is no parameter that RFC 3461 (5.2) wants relayed unchanged. It is sent to
partners that offer DSN or XENVID. A Message-ID is added only where there is none (RFC 5321 6.4), and one that
is given is never changed (RFC 5322 3.6.4).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from honeybarrow import mail

MESSAGE_ID_DOMAIN = "message.invalid"  # belongs to nobody (RFC 2606), so it is the same at each forwarder
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class MessageIdentity:
    """The names of a message to one recipient.

    ``duplicate_key`` identifies submissions of the message at this forwarder; it is empty if the client gave
    no name. ``envelope_id`` and ``added_message_id`` are for the partner, empty if none is sent or added.
    ``message_id`` is the one that the partner gets, added or given.
    """

    duplicate_key: str
    envelope_id: str
    added_message_id: str
    message_id: str


class MessageIdentifier:
    """Identifies one message of a client to each of its recipients."""

    def __init__(self, client: str, message: mail.Message) -> None:
        self._client = client
        self._envelope_id = mail.decode_xtext(message.parameters.envelope_id)
        self._message_id = mail.read_header(message.content, "Message-ID") or ""
        # The header is not part of the identity: a relay adds fields to it.
        body = mail.split_content(message.content)[1]
        self._body_digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()

    def identify(self, recipient: mail.Path, unique_message_id: str) -> MessageIdentity:
        """Return the identity of the message to a recipient.

        ``unique_message_id`` names this submission to this recipient, and nothing else.
        """
        if self._envelope_id:
            name = self._compute_digest("envelope", self._envelope_id, recipient)
            added = "" if self._message_id else f"<{name}@{MESSAGE_ID_DOMAIN}>"
            return MessageIdentity(name, name, added, self._message_id or added)
        if self._message_id:
            name = self._compute_digest("header", self._message_id, recipient)
            return MessageIdentity(name, "", "", self._message_id)
        return MessageIdentity("", "", unique_message_id, unique_message_id)

    def _compute_digest(self, kind: str, name: str, recipient: mail.Path) -> str:
        """Return a digest of what makes a message the same; each part is preceded by its length."""
        address = f"{recipient.local}@{recipient.domain.lower()}"
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (self._client, kind, name, address):
            encoded = part.encode("utf-8", "surrogateescape")
            digest.update(len(encoded).to_bytes(8, "big") + encoded)
        # A different message that reuses a name is no duplicate.
        digest.update(self._body_digest)
        return digest.hexdigest()
