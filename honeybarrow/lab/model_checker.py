"""Explicit-state model checker: breadth-first search that finds a shortest path to a violated invariant.

States hold copies of production objects. A model defines the transitions, the equivalence of states and the
invariants, and bounds its state space; a complete search has visited every reachable state within the bounds.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

State = TypeVar("State")


class Model(Protocol[State]):
    """A transition system with invariants."""

    def initial_state(self) -> State:
        """Return the initial state."""
        ...

    def successors(self, state: State) -> Iterable[tuple[str, State]]:
        """Return the label and the new state of each possible transition, without changing ``state``."""
        ...

    def state_key(self, state: State) -> Hashable:
        """Return a key that is equal for states with equivalent behaviour."""
        ...

    def find_violation(self, state: State) -> str:
        """Return a description of the invariant that ``state`` violates, empty if none."""
        ...


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The result of a search; ``is_complete`` is true if all states within the bounds were visited."""

    states: int
    transitions: int
    depth: int
    duration_s: float
    is_complete: bool
    violation: str = ""
    path: tuple[str, ...] = ()


@dataclass(slots=True)
class _SearchNode(Generic[State]):
    state: State
    depth: int
    parent: _SearchNode[State] | None
    label: str

    def get_path(self) -> tuple[str, ...]:
        """Return the labels of the transitions from the initial state to this one."""
        labels: list[str] = []
        node = self
        while node.parent is not None:
            labels.append(node.label)
            node = node.parent
        return tuple(reversed(labels))


def explore_states(model: Model[State], max_states: int = 1_000_000) -> SearchResult:
    """Visit states until an invariant is violated, none is left, or ``max_states`` were visited."""
    started_s = time.monotonic()
    first = _SearchNode(model.initial_state(), 0, None, "")
    visited = {hash(model.state_key(first.state)): None}
    queue, transitions, depth = deque([first]), 0, 0

    def finish(violation: str = "", path: tuple[str, ...] = (), is_complete: bool = False) -> SearchResult:
        duration_s = time.monotonic() - started_s
        return SearchResult(len(visited), transitions, depth, duration_s, is_complete, violation, path)

    while queue:
        node = queue.popleft()
        depth = node.depth
        for label, state in model.successors(node.state):
            transitions += 1
            successor = _SearchNode(state, node.depth + 1, node, label)
            if violation := model.find_violation(state):
                return finish(violation, successor.get_path())
            key = hash(model.state_key(state))
            if key in visited:
                continue
            if len(visited) >= max_states:
                return finish()
            visited[key] = None
            queue.append(successor)
    return finish(is_complete=True)
