"""The queues and the lazy merge, compared with sorting as a model."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeybarrow.priority_queue import (
    MIN_STALE_ENTRIES,
    GroupedSortedLists,
    HeaviestFirstMerge,
    IndexedPriorityQueue,
)

STEPS = st.lists(
    st.tuples(st.sampled_from(["put", "put", "drop", "take", "first"]), st.integers(0, 9), st.integers(0, 5))
)


@given(STEPS)
def test_a_queue_is_ordered_by_key_and_number(steps: list[tuple[str, int, int]]) -> None:
    queue: IndexedPriorityQueue[str] = IndexedPriorityQueue()
    model: dict[int, int] = {}
    for operation, number, key in steps:
        if operation == "put":
            queue.put(number, key, f"i{number}")
            model[number] = key
        elif operation == "drop":
            queue.drop(number)
            model.pop(number, None)
        elif operation == "take":
            taken = sorted((k, n) for n, k in model.items() if k <= key)
            assert list(queue.take_up_to(key)) == [f"i{n}" for _, n in taken]
            model = {n: k for n, k in model.items() if k > key}
        least = min(((k, n) for n, k in model.items()), default=None)
        assert queue.first() == (None if least is None else (least[0], f"i{least[1]}"))
        assert len(queue) == len(model)
        assert (number in queue) == (number in model)


def test_outdated_entries_that_never_reach_the_top_are_removed() -> None:
    queue: IndexedPriorityQueue[None] = IndexedPriorityQueue()
    for key in range(100_000, 0, -1):
        queue.put(key % 3, key, None)
    assert len(queue._heap) <= 2 * MIN_STALE_ENTRIES


def test_first_matching_removes_items_that_do_not_match() -> None:
    queue: IndexedPriorityQueue[int] = IndexedPriorityQueue()
    for number in range(10):
        queue.put(number, -number, number)
    assert queue.first_matching(lambda item: item < 6) == 5
    assert len(queue) == 6
    assert queue.first_matching(lambda item: item > 20) is None
    assert len(queue) == 0


@given(st.lists(st.tuples(st.integers(0, 12), st.sampled_from("ab"), st.integers(0, 9))), st.integers(0, 9))
def test_grouped_lists_stay_sorted_and_split_at_a_sort_key(
    steps: list[tuple[int, str, int]], split_key: int
) -> None:
    lists: GroupedSortedLists[str] = GroupedSortedLists()
    model: dict[str, tuple[str, int, int]] = {}
    for insertion, (number, group, sort_key) in enumerate(steps):
        name = f"n{number}"
        if name in model:
            lists.drop(name)
            del model[name]
        else:
            lists.put(name, group, sort_key, insertion, name)
            model[name] = (group, sort_key, insertion)
    assert list(lists) == sorted(model, key=lambda name: model[name][2])
    groups = [sorted((k, i, n) for n, (g, k, i) in model.items() if g == group) for group in "ab"]
    expected = [
        ([e for e in group if e[0] < split_key], [e for e in group if e[0] >= split_key])
        for group in sorted(groups)
        if group
    ]
    assert list(lists.split(split_key)) == expected


def test_items_may_be_dropped_during_iteration_over_a_split() -> None:
    lists: GroupedSortedLists[int] = GroupedSortedLists()
    for number in range(5):
        lists.put(str(number), "a", number, number, number)
    visited = []
    for _, rest in lists.split(0):
        for _, _, item in rest:
            lists.drop(str(item))
            visited.append(item)
    assert visited == [0, 1, 2, 3, 4] and len(lists) == 0
    with pytest.raises(KeyError):
        lists.drop("0")


WEIGHTS = st.lists(st.lists(st.lists(st.integers(1, 20), max_size=4), max_size=3), max_size=8)


@given(WEIGHTS, st.lists(st.floats(0.0, 3.0), min_size=8, max_size=8))
def test_the_lazy_merge_equals_a_full_merge_whatever_the_bounds(
    groups: list[list[list[int]]], slack: list[float]
) -> None:
    rank: IndexedPriorityQueue[int] = IndexedPriorityQueue()
    runs: dict[int, list[list[tuple[float, str]]]] = {}
    for number, group in enumerate(groups):
        runs[number] = [
            [(float(w), f"{number}.{place}.{i}") for i, w in enumerate(sorted(weights, reverse=True))]
            for place, weights in enumerate(group)
        ]
        heaviest = max((run[0][0] for run in runs[number] if run), default=0.0)
        rank.put(number, -(math.log(max(heaviest, 1e-300)) + slack[number]), number)
    flat = [run for number in range(len(groups)) for run in runs[number]]
    merged = [item for _, item in heapq.merge(*flat, key=lambda pair: -pair[0])]

    def evaluate(number: int) -> Iterator[Iterator[tuple[float, str]]]:
        return (iter(run) for run in runs[number])

    assert list(HeaviestFirstMerge(rank, evaluate, math.log)) == merged


def test_groups_below_the_best_item_are_not_evaluated() -> None:
    rank: IndexedPriorityQueue[int] = IndexedPriorityQueue()
    for number in range(1000):
        rank.put(number, -math.log(number + 1), number)
    evaluated = []

    def evaluate(number: int) -> Iterator[Iterator[tuple[float, int]]]:
        evaluated.append(number)
        yield iter([(number + 1.0, number)])

    best = HeaviestFirstMerge(rank, evaluate, math.log)
    assert [item for item, _ in zip(best, range(3), strict=False)] == [999, 998, 997]
    assert evaluated == [999, 998, 997, 996] and len(rank) == 996
    assert best.evaluated[999] == (999, 1000.0)
