"""Tests of SWIM membership in simulated time: deaths, pauses, partitions, restarts and bounds."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeybarrow.fleet.membership import Membership
from honeybarrow.fleet.membership_messages import (
    Ack,
    IndirectPing,
    MemberChanged,
    MembershipAction,
    MemberState,
    MemberUpdate,
    Nack,
    NameConflict,
    Ping,
    PushPull,
    SendMessage,
    SwimMessage,
)
from honeybarrow.fleet.swim_config import SwimConfig

SECOND = 1_000_000


class Fleet:
    """Simulated members on links that delay, lose, duplicate and block messages."""

    def __init__(self, size: int, seed: int = 1, loss: float = 0.0, config: SwimConfig | None = None) -> None:
        self.rng, self.loss, self.config = random.Random(f"fleet/{seed}"), loss, config or SwimConfig()
        self.now, self.next_event_number = 0, 0
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.names = [f"m{number}" for number in range(size)]
        self.members: dict[str, Membership] = {}
        self.blocked_links: set[tuple[str, str]] = set()  # (sender, receiver)
        self.paused_until: dict[str, int] = {}
        self.changes: list[tuple[int, str, MemberChanged]] = []
        self.conflicts: list[MembershipAction] = []
        self.max_updates_per_message_seen = 0
        self.sent: dict[str, int] = {}
        for name in self.names:
            self.start_member(name, 1)

    def start_member(self, name: str, incarnation: int) -> None:
        peers = self.names[:3]
        seed = self.rng.random()
        member = Membership(
            name, "z", "", incarnation, [p for p in peers if p != name], random.Random(seed), self.config
        )
        self.members[name] = member
        self.schedule(0, lambda: self.carry_out(name, member.start(self.now)))

    def schedule(self, delay: int, callback: Callable[[], None]) -> None:
        self.next_event_number += 1
        heapq.heappush(self.queue, (self.now + delay, self.next_event_number, callback))

    def carry_out(self, name: str, actions: Iterable[MembershipAction]) -> None:
        for action in actions:
            match action:
                case SendMessage(to, message):
                    self.sent[name] = self.sent.get(name, 0) + 1
                    self.max_updates_per_message_seen = max(
                        self.max_updates_per_message_seen, len(message.updates)
                    )
                    for _ in range(2 if self.rng.random() < self.loss / 5 else 1):
                        if (name, to) not in self.blocked_links and self.rng.random() >= self.loss:
                            delay = int(self.rng.uniform(1_000, 20_000))
                            self.schedule(delay, lambda to=to, m=message: self.deliver(name, to, m))  # type: ignore[misc]
                case PushPull(to):
                    self.schedule(20_000, lambda to=to: self.push_pull(name, to))  # type: ignore[misc]
                case MemberChanged():
                    self.changes.append((self.now, name, action))
                case _:
                    self.conflicts.append(action)
        self.wake_later(name)

    def wake_later(self, name: str) -> None:
        member = self.members[name]
        due = member.due_us

        def wake() -> None:
            if self.members.get(name) is member and member.due_us <= self.now:
                if (until := self.paused_until.get(name, 0)) > self.now:
                    self.schedule(until - self.now, wake)
                else:
                    self.carry_out(name, member.wake(self.now))

        if due < 1 << 62:
            self.schedule(max(0, due - self.now), wake)

    def deliver(self, sender: str, to: str, message: SwimMessage) -> None:
        if to not in self.members:
            return
        if (
            until := self.paused_until.get(to, 0)
        ) > self.now:  # unread in the socket until the member resumes
            self.schedule(until - self.now + 5_000, lambda: self.deliver(sender, to, message))
            return
        self.carry_out(to, self.members[to].handle_message(self.now, sender, message))

    def push_pull(self, one: str, other: str) -> None:
        if one not in self.members or other not in self.members or self.paused_until.get(other, 0) > self.now:
            return
        if (one, other) in self.blocked_links or (other, one) in self.blocked_links:
            return
        mine, theirs = self.members[one].member_list(), self.members[other].member_list()
        self.carry_out(one, self.members[one].merge_member_list(self.now, theirs))
        self.carry_out(other, self.members[other].merge_member_list(self.now, mine))

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end

    def kill_member(self, name: str) -> None:
        del self.members[name]

    def partition(self, names: Iterable[str], direction: str = "both") -> None:
        """Isolate a group in both directions, or only block what it sends."""
        group = dict.fromkeys(names)
        for one in group:
            for other in self.names:
                if other not in group:
                    self.blocked_links.add((one, other))
                    if direction == "both":
                        self.blocked_links.add((other, one))

    def state(self, at: str, of: str) -> MemberState | None:
        member = self.members[at].members.get(of)
        return None if member is None else member.update.state

    def agree_on_live_members(self, live: Iterable[str]) -> bool:
        """Return whether every running member considers exactly these members live."""
        expected = sorted(live)
        return all(
            sorted(update.name for update in member.live_members()) == expected
            for member in self.members.values()
        )

    def deaths(self, of: str | None = None) -> list[tuple[int, str, MemberChanged]]:
        return [
            each
            for each in self.changes
            if each[2].update.state is MemberState.DEAD and of in (None, each[2].update.name)
        ]


@pytest.mark.parametrize("size", [2, 9, 40])
def test_members_discover_each_other_through_configured_peers(size: int) -> None:
    fleet = Fleet(size)
    fleet.run(15)
    assert fleet.agree_on_live_members(fleet.names)


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_death_is_detected_by_all_without_false_positives(loss: float) -> None:
    fleet = Fleet(12, loss=loss)
    fleet.run(15)
    fleet.kill_member("m5")
    killed_at = fleet.now
    fleet.run(25)
    assert fleet.agree_on_live_members(name for name in fleet.names if name != "m5")
    deaths = fleet.deaths("m5")
    assert len({observer: None for _, observer, _ in deaths}) == 11 and len(fleet.deaths()) == len(deaths)
    assert min(at for at, _, _ in deaths) - killed_at < 10 * SECOND
    assert len(fleet.members["m1"].known_members()) == 12  # dead members count towards the total


def test_packet_loss_causes_no_false_positives() -> None:
    fleet = Fleet(20, seed=3, loss=0.05)
    fleet.run(200)
    assert fleet.deaths() == [] and fleet.agree_on_live_members(fleet.names)


def test_suspect_refutes_suspicion() -> None:
    fleet = Fleet(6)
    fleet.run(10)
    known = fleet.members["m0"].members["m3"].update
    suspicion = MemberUpdate("m3", MemberState.SUSPECT, known.incarnation, known.refutations, "z", "", "m1")
    fleet.carry_out("m0", fleet.members["m0"].handle_message(fleet.now, "m1", Ping(1, (suspicion,))))
    assert fleet.state("m0", "m3") is MemberState.SUSPECT
    fleet.run(5)
    assert fleet.state("m0", "m3") is MemberState.ALIVE and fleet.deaths() == []
    assert fleet.members["m3"].local_member.refutations == known.refutations + 1


def test_one_way_partition_causes_no_other_deaths() -> None:
    fleet = Fleet(9, seed=4)
    fleet.run(15)
    fleet.partition(["m4"], "sends")  # m4 receives messages but can't send any
    fleet.run(40)
    false_positives = [
        observer for _, observer, change in fleet.deaths() if change.update.name != "m4" and observer != "m4"
    ]
    assert false_positives == []
    fleet.blocked_links.clear()
    fleet.run(60)
    assert fleet.agree_on_live_members(fleet.names)


def test_resumed_member_declares_no_member_dead() -> None:
    fleet = Fleet(9, seed=5)
    fleet.run(15)
    fleet.paused_until["m2"] = fleet.now + 30 * SECOND
    fleet.run(29)
    assert fleet.state("m0", "m2") is MemberState.DEAD
    change_count = len(fleet.changes)
    fleet.run(30)
    assert all(change.update.name == "m2" for _, _, change in fleet.changes[change_count:])
    assert fleet.agree_on_live_members(fleet.names)


def test_partitioned_fleet_merges_again() -> None:
    fleet = Fleet(9, seed=6)
    fleet.run(15)
    fleet.partition(["m1", "m2", "m3", "m4"])
    fleet.run(60)
    assert len(fleet.members["m1"].live_members()) == 4 and len(fleet.members["m0"].live_members()) == 5
    assert len(fleet.members["m1"].known_members()) == 9
    fleet.blocked_links.clear()
    fleet.run(120)
    assert fleet.agree_on_live_members(fleet.names)


def test_updates_of_previous_incarnation_do_not_affect_restarted_member() -> None:
    fleet = Fleet(6, seed=7)
    fleet.run(15)
    fleet.kill_member("m3")
    fleet.run(2)
    fleet.start_member("m3", 2)
    fleet.run(30)
    assert fleet.agree_on_live_members(fleet.names)
    outdated_update = MemberUpdate("m3", MemberState.DEAD, 1, 9)
    fleet.carry_out("m0", fleet.members["m0"].handle_message(fleet.now, "m1", Ping(1, (outdated_update,))))
    assert fleet.state("m0", "m3") is MemberState.ALIVE
    assert fleet.members["m0"].members["m3"].update.incarnation == 2


def test_member_with_clock_set_back_takes_later_incarnation() -> None:
    fleet = Fleet(5, seed=8)
    fleet.run(10)
    fleet.kill_member("m3")
    fleet.run(15)
    fleet.start_member("m3", 0)  # its clock was set back
    fleet.run(30)
    assert fleet.agree_on_live_members(fleet.names) and fleet.members["m3"].local_member.incarnation == 2


def test_name_conflict_is_reported() -> None:
    member = Membership("a", "z", "", 1, ["b"], random.Random(1))
    actions: list[MembershipAction] = []
    for n in range(9):
        actions += member.handle_message(
            n * SECOND,
            "b",
            Ping(n, (MemberUpdate("a", MemberState.ALIVE, member.local_member.incarnation + 3, 0),)),
        )
    assert (
        any(isinstance(action, NameConflict) for action in actions) and member.local_member.incarnation < 30
    )


def test_departed_member_is_not_declared_dead_and_is_removed() -> None:
    fleet = Fleet(8, seed=9, config=SwimConfig(left_retention_us=20 * SECOND))
    fleet.run(15)
    fleet.carry_out("m6", fleet.members["m6"].leave())
    fleet.run(1)
    fleet.kill_member("m6")
    fleet.run(15)
    assert fleet.deaths() == [] and fleet.agree_on_live_members(name for name in fleet.names if name != "m6")
    fleet.run(30)
    assert all("m6" not in member.members for member in fleet.members.values())


def test_messages_per_member_are_independent_of_fleet_size() -> None:
    messages_per_member = []
    for size in (10, 40):
        fleet = Fleet(size, seed=10)
        fleet.run(20)
        fleet.sent.clear()
        fleet.run(30)
        messages_per_member.append(sum(fleet.sent.values()) / size)
        assert fleet.max_updates_per_message_seen <= fleet.config.max_updates_per_message
    assert messages_per_member[1] < messages_per_member[0] * 1.1


def test_updates_beyond_max_members_are_dropped_and_unknown_senders_answered() -> None:
    member = Membership("a", "z", "", 1, ["b"], random.Random(1), SwimConfig(max_members=3))
    member.merge_member_list(0, [MemberUpdate(f"x{n}", MemberState.ALIVE, 1, 0) for n in range(9)])
    assert len(member.members) == 3 and member.dropped_updates == 6
    actions = member.handle_message(0, "unknown", Ping(7))
    assert [type(action) for action in actions] == [SendMessage]
    assert (
        isinstance(actions[0], SendMessage)
        and actions[0].to == "unknown"
        and isinstance(actions[0].message, Ack)
    )


def test_indirect_pings_are_bounded_and_limited_to_known_targets() -> None:
    member = Membership("a", "z", "", 1, ["b"], random.Random(1), SwimConfig(max_members=3))
    member.merge_member_list(0, [MemberUpdate("x", MemberState.ALIVE, 1, 0)])
    actions = [member.handle_message(0, "b", IndirectPing(n, "x")) for n in range(9)]
    assert sum(map(bool, actions)) == 3 and member.handle_message(0, "b", IndirectPing(1, "unknown")) == []


def test_answers_with_unknown_sequence_numbers_are_ignored() -> None:
    member = Membership("a", "z", "", 1, ["b"], random.Random(1))
    assert member.handle_message(0, "b", Ack(99)) == [] and member.handle_message(0, "b", Nack(98)) == []


@pytest.mark.parametrize(
    "change", [{"ping_timeout_us": SECOND}, {"max_updates_per_message": 0}, {"push_pull_interval_us": 0}]
)
def test_invalid_configuration_is_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=r"must be"):
        SwimConfig(**change)


UPDATES = st.builds(
    MemberUpdate,
    st.just("b"),
    st.sampled_from(list(MemberState)[:3]),
    st.integers(1, 2),
    st.integers(0, 2),
    suspected_by=st.sampled_from(["", "c", "d"]),
)


@given(st.lists(UPDATES, max_size=8), st.randoms())
def test_updates_lead_to_the_same_state_in_any_order_and_twice(
    updates: list[MemberUpdate], rng: random.Random
) -> None:
    results = []
    for _ in range(2):
        member = Membership("a", "z", "", 1, [], random.Random(1))
        for update in updates:
            member.merge_member_list(0, [update])
        record = member.members.get("b")
        results.append(
            None
            if record is None
            else (record.update.incarnation, record.update.refutations, record.update.state)
        )
        updates = rng.sample(updates, len(updates)) + updates[:3]
    assert results[0] == results[1]


def test_push_pull_interval_grows_after_the_first_exchanges() -> None:
    """When many members start at once, a first exchange may be with a peer that knows no other member."""
    member = Membership("a", "z", "", 1, ["b", "c"], random.Random(1))
    member.start(0)
    member.merge_member_list(
        0, [MemberUpdate("b", MemberState.ALIVE, 1, 0), MemberUpdate("c", MemberState.ALIVE, 1, 0)]
    )
    push_pull_times = []
    while member.due_us < 100 * SECOND:
        now = member.due_us
        push_pull_times += [now for action in member.wake(now) if isinstance(action, PushPull)]
    assert len([each for each in push_pull_times if each < 10 * SECOND]) >= 3
    assert len([each for each in push_pull_times if each >= 40 * SECOND]) <= 5
