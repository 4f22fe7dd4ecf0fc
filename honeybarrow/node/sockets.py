"""Operations on a transport's socket: writing at once, looking at unread input, orderly ends."""

from __future__ import annotations

import socket
from typing import Any

from honeybarrow.tcp_transports import TRANSIENT_ERRNOS


def write_now(transport: Any, data: bytes) -> bool:
    """Write at once, if nothing waits to be written; whether the system has taken all of it.

    What does not fit goes through the transport's buffer. A transport without a socket, as tests have,
    buffers all of it.

    :raises OSError: if the connection is broken and nothing was written.
    """
    own: socket.socket | None = getattr(transport, "socket", None)
    if own is None or transport.dataBuffer or transport._tempDataBuffer:
        transport.write(data)
        return own is None
    try:
        written = own.send(data)
    except BlockingIOError:
        written = 0
    except OSError as error:
        if error.errno not in TRANSIENT_ERRNOS:
            raise
        written = 0
    if written < len(data):
        transport.write(data[written:])
    return written == len(data)


def has_unwritten_bytes(transport: Any) -> bool:
    """Return whether bytes wait in the transport's buffer."""
    return bool(getattr(transport, "dataBuffer", b"") or getattr(transport, "_tempDataBuffer", []))


def has_unread_bytes(transport: Any) -> bool:
    """Return whether bytes have come that were not read yet. The peer's end of stream alone is none.

    A look that fails for a moment counts as a yes: what is there must not be lost.
    """
    own: socket.socket | None = getattr(transport, "socket", None)
    if own is None:
        return False
    try:
        return bool(own.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError as error:
        return error.errno in TRANSIENT_ERRNOS


def half_close(transport: Any) -> None:
    """End our sending, at once if nothing waits to be written.

    Danger: done one reactor iteration later, what comes in between is read before the end of stream that its
    sender sees, and is neither answered nor known to be unread.
    """
    transport.loseWriteConnection()
    if getattr(transport, "socket", None) is not None and not has_unwritten_bytes(transport):
        transport.doWrite()


def close_now(transport: Any) -> None:
    """Close and release the descriptor at once; with a reset only where the answer can't be written."""
    half_close(transport)
    if has_unwritten_bytes(transport):
        transport.abortConnection()
    else:
        transport.loseConnection()


def is_open_and_quiet(transport: Any) -> bool:
    """Return whether the peer has neither closed a keep-alive connection nor sent anything on it."""
    own: socket.socket | None = getattr(transport, "socket", None)
    if own is None:
        return True
    try:
        own.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
