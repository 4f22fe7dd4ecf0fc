"""Exhaustive search over event orders on one connection, against a model that knows the truth.

The model is an endpoint that serves the requests of a connection in order and a network that repeats its
responses. The forwarder's side asks :class:`ResponsePairing` as the connection does. In each state the search
tries every event; at each state it checks that no outcome was made final that is wrong.
"""

from __future__ import annotations

import copy
import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from honeybarrow.node.response_pairing import ResponsePairing

STEP_US = 100_000
SILENCE_US = 3 * STEP_US  # no true response takes longer


class WrongOutcomeError(Exception):
    """An outcome is final and wrong."""


class Claim(enum.Enum):
    """What a response says of its request."""

    RAN = "ran"
    NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True)
class Read:
    """A claim that the forwarder has read for a request."""

    request: int
    claim: Claim


@dataclass
class SearchState:
    """One connection, what is true of its requests, and what the forwarder has made of it."""

    pairing: ResponsePairing[Read] = field(default_factory=ResponsePairing)
    now_us: int = 0
    truths: list[Claim] = field(default_factory=list)  # by request
    unanswered: list[int] = field(default_factory=list)  # requests, oldest first
    written_us: list[int] = field(default_factory=list)
    last_response: Claim | None = None  # that the network can repeat
    out: int | None = None  # the request whose response the forwarder awaits
    final: list[Read] = field(default_factory=list)
    is_open: bool = True

    def check(self) -> None:
        for read in self.final:
            if self.truths[read.request] is not read.claim:
                raise WrongOutcomeError(f"{read} is final, true is {self.truths[read.request]}")


def _receive(state: SearchState, claim: Claim) -> None:
    """Let a response arrive at the forwarder."""
    state.pairing.record_input(state.now_us)
    if state.out is None:  # surplus: whatever is unconfirmed is refuted
        state.pairing.take_unconfirmed()
        state.is_open = False
        return
    read, state.out = Read(state.out, claim), None
    is_certain = state.pairing.is_next_certain
    state.pairing.record_response(state.now_us, None if is_certain else read, claim is Claim.RAN)
    if is_certain:
        state.final.append(read)


def write_request(state: SearchState, truth: Claim) -> bool:
    may_write = state.out is None and len(state.truths) < 3
    if not may_write or not state.pairing.may_carry_request(state.now_us):
        return False
    state.out = len(state.truths)
    state.truths.append(truth)
    state.unanswered.append(state.out)
    state.written_us.append(state.now_us)
    return True


def answer(state: SearchState) -> bool:
    if not state.unanswered:
        return False
    claim = state.truths[state.unanswered.pop(0)]
    state.last_response = claim
    _receive(state, claim)
    return True


def repeat_response(state: SearchState) -> bool:
    if state.last_response is None:
        return False
    _receive(state, state.last_response)
    return True


def close(state: SearchState) -> bool:
    """The connection ends, by whichever side: what is unconfirmed is refuted."""
    state.pairing.take_unconfirmed()
    state.is_open = False
    return True


def wait(state: SearchState) -> bool:
    """Time passes; a true response is never later than the longest one."""
    if any(state.now_us + STEP_US - state.written_us[each] >= SILENCE_US for each in state.unanswered[:1]):
        return False
    state.now_us += STEP_US
    state.final += state.pairing.take_confirmed(state.now_us, SILENCE_US)
    return True


EVENTS: dict[str, Callable[[SearchState], bool]] = {
    "write, will run": lambda state: write_request(state, Claim.RAN),
    "write, will not run": lambda state: write_request(state, Claim.NOT_RUN),
    "answer": answer,
    "repeat": repeat_response,
    "close": close,
    "wait": wait,
}


def search(depth: int, state: SearchState | None = None, path: tuple[str, ...] = ()) -> int:
    """Try all orders of up to ``depth`` events; return the number of states.

    :raises WrongOutcomeError: with the events that lead to a wrong outcome.
    """
    state = state or SearchState()
    states = 1
    if depth == 0 or not state.is_open:
        return states
    for name, event in EVENTS.items():
        following = copy.deepcopy(state)
        if not event(following):
            continue
        try:
            following.check()
        except WrongOutcomeError as error:
            raise WrongOutcomeError(f"{error} after {', '.join((*path, name))}") from None
        states += search(depth - 1, following, (*path, name))
    return states
