"""Client connections in the order in which they are evicted at the connection limit.

Each eviction class has its own queue, so that choosing a candidate does not scan all connections even while
hundreds of clients connect every second.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

from honeybarrow.node.descriptor_budget import ConnectionState, EvictionClass, eviction_class

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class EvictionQueue(Generic[Key, Value]):
    """Connections ordered by eviction class, and within a class by the time they entered it."""

    def __init__(self) -> None:
        self._queues: dict[EvictionClass, OrderedDict[Key, Value]] = {
            each: OrderedDict() for each in EvictionClass
        }
        self._class_of: dict[Key, EvictionClass] = {}

    def update(self, key: Key, connection: Value, state: ConnectionState, has_answered: bool) -> None:
        """Update the state of a connection; if its class changes, it moves to the end of the new class."""
        new_class = eviction_class(state, has_answered)
        if self._class_of.get(key) is new_class:
            return
        self.remove(key)
        if new_class is not None:
            self._class_of[key] = new_class
            self._queues[new_class][key] = connection

    def remove(self, key: Key) -> None:
        """Remove a connection, if present."""
        old_class = self._class_of.pop(key, None)
        if old_class is not None:
            del self._queues[old_class][key]

    def candidates(self, limit: int) -> Iterator[Value]:
        """Return an iterator over the first ``limit`` connections to evict."""
        in_order = itertools.chain.from_iterable(queue.values() for queue in self._queues.values())
        return itertools.islice(in_order, limit)
