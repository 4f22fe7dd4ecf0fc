"""Client connections in the order in which they are evicted when a new one finds no room.

Danger: looking through all connections for each new one takes most of the processor when hundreds of idle
clients connect every second. So each connection is kept in the queue of its kind, the longest there first.
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
    """Connections by their eviction class; within a class in the order in which they came into it."""

    def __init__(self) -> None:
        self._queues: dict[EvictionClass, OrderedDict[Key, Value]] = {
            each: OrderedDict() for each in EvictionClass
        }
        self._class_of: dict[Key, EvictionClass] = {}

    def update(self, key: Key, connection: Value, state: ConnectionState, has_answered: bool) -> None:
        """Note the state of a connection; one that comes into a class goes to its end."""
        found = eviction_class(state, has_answered)
        if self._class_of.get(key) is found:
            return
        self.remove(key)
        if found is not None:
            self._class_of[key] = found
            self._queues[found][key] = connection

    def remove(self, key: Key) -> None:
        """Forget a connection."""
        before = self._class_of.pop(key, None)
        if before is not None:
            del self._queues[before][key]

    def candidates(self, limit: int) -> Iterator[Value]:
        """Yield the first connections to evict, at most so many."""
        in_order = itertools.chain.from_iterable(queue.values() for queue in self._queues.values())
        return itertools.islice(in_order, limit)
