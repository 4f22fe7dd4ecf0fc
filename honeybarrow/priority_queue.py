"""Priority queues with mutable keys, sorted groups, and a lazy merge of groups in descending order of weight.

All orders are total, by key and then by number, so the same calls always give the same order.
"""

from __future__ import annotations

import bisect
import heapq
from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Generic, TypeVar

Group = TypeVar("Group")
Item = TypeVar("Item")
MIN_STALE_ENTRIES = 64  # stale heap entries that are tolerated regardless of the number of items
BOUND_TOLERANCE = 1e-6  # bounds closer than this count as equal


class IndexedPriorityQueue(Generic[Item]):
    """A min-heap of numbered items whose keys may change; ties go to the lowest number.

    Entries of the heap are invalidated lazily: outdated ones are discarded when they reach the top, and the
    heap is rebuilt once most of its entries are outdated. ``put`` takes O(log n) amortized, ``drop`` O(1),
    and ``first`` O(1) besides the removal of outdated entries.
    """

    __slots__ = ("_entries", "_heap")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._entries: dict[int, tuple[float, Item]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, number: int) -> bool:
        return number in self._entries

    def key(self, number: int, default: float) -> float:
        """Return the key of an item, or ``default`` if there is no such item."""
        entry = self._entries.get(number)
        return default if entry is None else entry[0]

    def put(self, number: int, key: float, item: Item) -> None:
        """Add an item or replace it and its key; the key must not be NaN."""
        previous = self._entries.get(number)
        self._entries[number] = (key, item)
        if previous is not None and previous[0] == key:
            return
        if len(self._heap) > MIN_STALE_ENTRIES + 2 * len(self._entries):
            self._heap = [(entry[0], each) for each, entry in self._entries.items()]
            heapq.heapify(self._heap)
        else:
            heapq.heappush(self._heap, (key, number))

    def drop(self, number: int) -> None:
        """Remove an item if it is present."""
        self._entries.pop(number, None)

    def put_if(self, number: int, key: float, item: Item, condition: bool) -> None:
        """Add the item if the condition holds, else remove it."""
        if condition:
            self.put(number, key, item)
        elif number in self._entries:
            del self._entries[number]

    def first_entry(self) -> tuple[float, int] | None:
        """Return the lowest key and its number, or ``None`` for an empty queue."""
        heap, entries = self._heap, self._entries
        while heap:
            entry = entries.get(heap[0][1])
            if entry is not None and entry[0] == heap[0][0]:
                return heap[0]
            heapq.heappop(heap)
        return None

    def first(self) -> tuple[float, Item] | None:
        """Return the lowest key and its item without removing it, or ``None`` for an empty queue."""
        entry = self.first_entry()
        return None if entry is None else self._entries[entry[1]]

    def pop(self, number: int) -> Item:
        """Remove and return an item.

        :raises KeyError: if there is no such item.
        """
        return self._entries.pop(number)[1]

    def first_key(self, default: float) -> float:
        """Return the lowest key, or ``default`` for an empty queue."""
        entry = self.first_entry()
        return default if entry is None else entry[0]

    def first_matching(self, predicate: Callable[[Item], bool]) -> Item | None:
        """Return the first item that matches without removing it; remove the items before it."""
        while (entry := self.first()) is not None:
            if predicate(entry[1]):
                return entry[1]
            del self._entries[heapq.heappop(self._heap)[1]]
        return None

    def take_up_to(self, maximum_key: float = float("inf")) -> Iterator[Item]:
        """Remove and yield the items with keys up to ``maximum_key``, in order."""
        while (entry := self.first()) is not None and entry[0] <= maximum_key:
            _, number = heapq.heappop(self._heap)
            del self._entries[number]
            yield entry[1]


class GroupedSortedLists(Generic[Item]):
    """Named items in groups, each group sorted by sort key and then by insertion number.

    ``put`` and ``drop`` take O(log n) comparisons and one move of list memory.
    """

    __slots__ = ("_entries", "_groups")

    def __init__(self) -> None:
        self._groups: dict[Hashable, list[tuple[int, int, Item]]] = {}
        self._entries: dict[str, tuple[Hashable, int, int, Item]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, name: str) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[Item]:
        """Iterate over all items in order of insertion."""
        return (entry[3] for entry in self._entries.values())

    def put(self, name: str, group: Hashable, sort_key: int, insertion: int, item: Item) -> None:
        """Add an item whose name is not in use; insertion numbers must increase from call to call."""
        self._entries[name] = (group, sort_key, insertion, item)
        bisect.insort(self._groups.setdefault(group, []), (sort_key, insertion, item))

    def drop(self, name: str) -> None:
        """Remove an item.

        :raises KeyError: if there is no item of this name.
        """
        group, sort_key, insertion, _ = self._entries.pop(name)
        entries = self._groups[group]
        del entries[bisect.bisect_left(entries, (sort_key, insertion))]
        if not entries:
            del self._groups[group]

    def split(
        self, sort_key: int
    ) -> Iterator[tuple[list[tuple[int, int, Item]], list[tuple[int, int, Item]]]]:
        """Yield for each group the entries below a sort key and the others, groups sorted by first entry.

        An entry is a tuple of sort key, insertion number and item. The lists are copies, so items may be
        dropped during the iteration.
        """
        for entries in sorted(self._groups.values()):
            first = bisect.bisect_left(entries, (sort_key,))
            yield entries[:first], entries[first:]


class HeaviestFirstMerge(Generic[Group, Item]):
    """An iterable over the items of many groups in descending order of weight, evaluating groups lazily.

    ``rank`` holds the groups by the negated upper bound of the weights of their items. ``evaluate`` returns
    the runs of a group: iterators of (weight, item) pairs in descending order of weight. ``to_bound``
    converts a weight to the scale of the bounds. A group is removed from ``rank`` and evaluated only when its
    bound reaches the heaviest item found so far. Items of equal weight come in the order of group numbers
    and then of runs, as in a full merge.
    """

    def __init__(
        self,
        rank: IndexedPriorityQueue[Group],
        evaluate: Callable[[Group], Iterable[Iterator[tuple[float, Item]]]],
        to_bound: Callable[[float], float],
    ) -> None:
        self.rank, self.evaluate_group, self.to_bound = rank, evaluate, to_bound
        self.evaluated: dict[int, tuple[Group, float]] = {}  # by number: the group and its highest weight

    def __iter__(self) -> Iterator[Item]:
        heads: list[tuple[float, int, int, Item, Iterator[tuple[float, Item]]]] = []
        while True:
            while (number := self._next_to_evaluate(heads)) is not None:
                group = self.rank.pop(number)
                best = 0.0
                for order, run in enumerate(self.evaluate_group(group)):
                    for weight, item in run:
                        best = max(best, weight)
                        heapq.heappush(heads, (-weight, number, order, item, run))
                        break
                self.evaluated[number] = (group, best)
            if not heads:
                return
            _, number, order, item, run = heads[0]
            yield item
            for weight, item in run:
                heapq.heapreplace(heads, (-weight, number, order, item, run))
                break
            else:
                heapq.heappop(heads)

    def _next_to_evaluate(
        self, heads: list[tuple[float, int, int, Item, Iterator[tuple[float, Item]]]]
    ) -> int | None:
        """Return the number of the next group to evaluate before the heaviest item may be yielded, if any."""
        if (entry := self.rank.first_entry()) is None:
            return None
        must_evaluate = not heads or -entry[0] >= self.to_bound(-heads[0][0]) - BOUND_TOLERANCE
        return entry[1] if must_evaluate else None
