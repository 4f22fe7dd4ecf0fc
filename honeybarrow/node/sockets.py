"""Operations on the socket of a Twisted transport: immediate writes, peeking at input, orderly shutdown."""

from __future__ import annotations

import contextlib
import enum
import socket
from typing import Any

from honeybarrow.tcp_transports import TRANSIENT_ERRNOS

_DISCARDED_BYTES = 16_384  # by one read


def write_now(transport: Any, data: bytes) -> bool:
    """Write data without waiting for the reactor; return whether the operating system took all of it.

    Data that does not fit, or that follows buffered data, goes to the transport's buffer. A transport without
    a socket, as used in tests, counts as having written all of it.

    :raises OSError: if the connection is broken and nothing was written.
    """
    sock: socket.socket | None = getattr(transport, "socket", None)
    if sock is None or transport.dataBuffer or transport._tempDataBuffer:
        transport.write(data)
        return sock is None
    try:
        written = sock.send(data)
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
    """Return whether the transport has buffered output."""
    return bool(getattr(transport, "dataBuffer", b"") or getattr(transport, "_tempDataBuffer", []))


def has_unread_bytes(transport: Any) -> bool:
    """Return whether received bytes are unread; the end of the stream does not count.

    Returns True on a transient error, so that input is never lost.
    """
    sock: socket.socket | None = getattr(transport, "socket", None)
    if sock is None:
        return False
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError as error:
        return error.errno in TRANSIENT_ERRNOS


def discard_unread_bytes(transport: Any, max_bytes: int) -> None:
    """Read and discard what has been received, so that a close does not reset the connection."""
    sock: socket.socket | None = getattr(transport, "socket", None)
    if sock is None:
        return
    with contextlib.suppress(OSError):
        while max_bytes > 0 and (data := sock.recv(_DISCARDED_BYTES, socket.MSG_DONTWAIT)):
            max_bytes -= len(data)


class PeerState(enum.Enum):
    """What is known of the peer of a connection, also behind input that is not read yet."""

    UNKNOWN = "unknown"  # the system does not tell
    OPEN = "open"
    ENDED = "ended"  # it has closed the connection, or only its sending side
    GONE = "gone"  # it has reset the connection, or the connection broke


# By the state of a connection in the first byte of Linux's struct tcp_info.
_TCP_ESTABLISHED, _TCP_CLOSE, _TCP_CLOSE_WAIT = 1, 7, 8
_PEER_STATES = {
    _TCP_ESTABLISHED: PeerState.OPEN,
    _TCP_CLOSE: PeerState.GONE,
    _TCP_CLOSE_WAIT: PeerState.ENDED,
}


def read_peer_state(transport: Any) -> PeerState:
    """Return the state of the peer by the state of the socket; reads no input."""
    sock: socket.socket | None = getattr(transport, "socket", None)
    if sock is None:
        return PeerState.UNKNOWN
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except (OSError, IndexError):
        return PeerState.UNKNOWN
    return _PEER_STATES.get(state, PeerState.UNKNOWN)


def half_close(transport: Any) -> None:
    """Shut down the sending side, immediately if no output is buffered.

    If it were deferred to the next reactor iteration, a request could be read meanwhile. It would get no
    response, and the client could not tell that it was not processed.
    """
    transport.loseWriteConnection()
    if getattr(transport, "socket", None) is not None and not has_unwritten_bytes(transport):
        transport.doWrite()


def close_now(transport: Any) -> None:
    """Close the connection at once, with a reset only if buffered output remains."""
    half_close(transport)
    if has_unwritten_bytes(transport):
        transport.abortConnection()
    else:
        transport.loseConnection()


def is_open_and_quiet(transport: Any) -> bool:
    """Return whether a keep-alive connection is open and has no unread input."""
    sock: socket.socket | None = getattr(transport, "socket", None)
    if sock is None:
        return True
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
