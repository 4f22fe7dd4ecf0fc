"""Division of the memory limit of a process, and the budget of clients' input.

The module does no I/O and reads no clock; sizes are bytes, times are seconds. What a process takes at rest,
the objects of its connections and a reserve come first. The rest is divided between input that is not a
complete request yet and messages that have no final result yet.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

RESERVE_SHARE = 0.05  # of the limit, for calls, lists, the log's buffers and the allocator
CONNECTION_BYTES = 2_000  # objects of a connection without its input
INPUT_SHARE = 0.4  # of what remains; the rest is for messages
ALLOCATOR_OVERHEAD = 1.3  # memory that blocks of many sizes take, relative to their sizes
MIN_INPUT_BYTES = 256 * 1024
MIN_MESSAGE_BYTES = 256 * 1024
LIST_ITEM_SHARE = 1 / 8  # of what is not taken at rest; a parsed item takes several times its bytes
MIN_LIST_ITEM_BYTES = 256 * 1024
MAX_INPUT_BYTES = 64 << 20  # more than all connections can use
MESSAGE_BYTES = 3_500  # objects of an open message, in addition to its records in the log
MAX_ALLOWANCE_BYTES = 4_096  # input that a connection may hold without a reservation
MIN_ALLOWANCE_BYTES = 512
MAX_READ_BYTES = 16_384  # by one read of a client's connection
MIN_READ_BYTES = 512  # smallest read for which memory is reserved
# While others wait for memory, a reservation is kept for so long.
MAX_STALL_S = 0.2  # without input, although there is memory for it
MAX_HOLD_S = 1.0  # with input
MIN_BURST_BYTES = 1 << 20  # of input, after which freed memory is returned to the kernel


@dataclass(frozen=True, slots=True)
class MemoryShares:
    """Shares of the memory limit in bytes; ``is_limit_low`` means that the least shares exceed it."""

    limit_bytes: int
    resident_bytes: int
    input_bytes: int
    message_bytes: int
    list_item_bytes: int  # largest item of the endpoint list
    is_limit_low: bool


def allocate_memory(limit_bytes: int, resident_bytes: int, client_connections: int) -> MemoryShares:
    """Divide a memory limit, of which a process takes ``resident_bytes`` at rest."""
    fixed_bytes = resident_bytes + RESERVE_SHARE * limit_bytes + client_connections * CONNECTION_BYTES
    free_bytes = (limit_bytes - fixed_bytes) / ALLOCATOR_OVERHEAD
    input_bytes = int(free_bytes * INPUT_SHARE)
    message_bytes = int(free_bytes) - input_bytes
    return MemoryShares(
        limit_bytes,
        resident_bytes,
        max(MIN_INPUT_BYTES, min(input_bytes, MAX_INPUT_BYTES)),
        max(MIN_MESSAGE_BYTES, message_bytes),
        max(MIN_LIST_ITEM_BYTES, int((limit_bytes - resident_bytes) * LIST_ITEM_SHARE)),
        input_bytes < MIN_INPUT_BYTES or message_bytes < MIN_MESSAGE_BYTES,
    )


class MessageMemory:
    """Admission of messages by the memory that the open ones take."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.peak_bytes = 0
        self.full_count = 0  # messages that were refused

    def used_bytes(self, message_count: int, record_bytes: int) -> int:
        """Return the memory of open messages, whose records in the log take ``record_bytes``."""
        used_bytes = message_count * MESSAGE_BYTES + record_bytes
        self.peak_bytes = max(self.peak_bytes, used_bytes)
        return used_bytes

    def has_room(self, message_count: int, record_bytes: int, share: float = 1.0) -> bool:
        """Return whether another message may be admitted, within a share of the memory."""
        has_room = self.used_bytes(message_count + 1, record_bytes) <= share * self.max_bytes
        self.full_count += not has_room
        return has_room


class InputBudget:
    """Input that connections hold, by connection number.

    Each connection has a small allowance, so that an ordinary request never waits for memory. More than that
    has to be reserved from a share that all connections have in common. A connection that gets no reservation
    waits, and is not read from meanwhile.
    """

    def __init__(self, max_bytes: int, max_connections: int) -> None:
        allowance_bytes = max_bytes // 2 // max(1, max_connections)
        self.allowance_bytes = max(MIN_ALLOWANCE_BYTES, min(allowance_bytes, MAX_ALLOWANCE_BYTES))
        self.shared_bytes = max(0, max_bytes - self.allowance_bytes * max_connections)
        self.reserved_bytes = 0
        self.peak_bytes = 0
        self.full_count = 0  # reservations that were refused
        self._burst_bytes = 0  # peak since memory was returned to the kernel
        self._reserved: OrderedDict[int, int] = OrderedDict()  # bytes beyond the allowance, oldest first
        self._reserved_since_s: dict[int, float] = {}
        self._last_input_s: dict[int, float] = {}
        self._waiting: OrderedDict[int, int] = OrderedDict()  # bytes wanted, longest wait first

    @property
    def has_waiting(self) -> bool:
        """Whether a connection waits for memory."""
        return bool(self._waiting)

    def reserve(self, connection: int, held_bytes: int, wanted_bytes: int, now_s: float) -> int:
        """Adjust the reservation of a connection that holds input and wants to read more.

        Return how many bytes it may read now; 0 means that it waits, unless it wants none.
        """
        wanted_bytes = min(wanted_bytes, MAX_READ_BYTES)
        free_bytes = self.shared_bytes - self.reserved_bytes + self._reserved.get(connection, 0)
        granted_bytes = min(wanted_bytes, max(0, self.allowance_bytes + free_bytes - held_bytes))
        if granted_bytes < min(wanted_bytes, MIN_READ_BYTES):
            granted_bytes = min(wanted_bytes, max(0, self.allowance_bytes - held_bytes))
        if granted_bytes or not wanted_bytes:
            self._waiting.pop(connection, None)
        elif connection not in self._waiting:
            self._waiting[connection] = wanted_bytes
            self.full_count += 1
            if connection in self._reserved:  # a request that has begun goes before others
                self._waiting.move_to_end(connection, last=False)
        self._set(connection, max(0, held_bytes + granted_bytes - self.allowance_bytes), now_s)
        return granted_bytes

    def _set(self, connection: int, size: int, now_s: float) -> None:
        old_size = self._reserved.get(connection, 0)
        self.reserved_bytes += size - old_size
        self.peak_bytes = max(self.peak_bytes, self.reserved_bytes)
        self._burst_bytes = max(self._burst_bytes, self.reserved_bytes)
        if size:
            self._reserved[connection] = size
            self._reserved_since_s.setdefault(connection, now_s)
            if size != old_size:
                self._last_input_s[connection] = now_s
        elif connection in self._reserved:
            del self._reserved[connection]
            del self._reserved_since_s[connection], self._last_input_s[connection]

    def release(self, connection: int) -> None:
        """Give up the reservation of a connection, and its place among the waiting ones."""
        self._waiting.pop(connection, None)
        self._set(connection, 0, 0.0)

    def ends_burst(self) -> bool:
        """Return once after each burst of input whether most of its memory is free again."""
        if self._burst_bytes < MIN_BURST_BYTES or self.reserved_bytes > self._burst_bytes // 8:
            return False
        self._burst_bytes = 0
        return True

    def next_waiting(self) -> int | None:
        """Return the connection that has waited longest, if there is memory for a read."""
        if self.shared_bytes - self.reserved_bytes < MIN_READ_BYTES:
            return None
        return next(iter(self._waiting), None)

    def choose_victims(self, now_s: float) -> list[int]:
        """Return the connections whose requests have to be refused for those that wait, oldest first."""
        missing_bytes = sum(self._waiting.values()) - (self.shared_bytes - self.reserved_bytes)
        victims = []
        for connection, size in self._reserved.items():
            if missing_bytes <= 0:
                break
            is_stalled = now_s - self._last_input_s[connection] >= MAX_STALL_S
            hold_s = now_s - self._reserved_since_s[connection]
            if (is_stalled and connection not in self._waiting) or hold_s >= MAX_HOLD_S:
                victims.append(connection)
                missing_bytes -= size
        return victims
