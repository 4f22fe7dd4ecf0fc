"""Fleet agents on simulated sockets, their settings and commands, and whole forwarders in simulated time."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from twisted.internet.protocol import ClientFactory, Protocol

from honeybarrow import config, lab
from honeybarrow.cli.main import main
from honeybarrow.config.schema import FleetMembershipConfig, ForwarderConfig
from honeybarrow.events import EndpointState, MembershipUpdate
from honeybarrow.fleet import membership_messages as swim
from honeybarrow.fleet import wire
from honeybarrow.fleet.agent import FleetAgent, FleetConfig
from honeybarrow.fleet.swim_config import SwimConfig
from honeybarrow.fleet.wire import (
    Datagram,
    Frame,
    OperatorReply,
    SetOverride,
    StatusQuery,
)
from honeybarrow.fleet.zone_config import ZoneConfig
from honeybarrow.lab.simulated_network import NetworkSimulator, SimulatedHost
from honeybarrow.metrics import Metrics
from honeybarrow.rehearsal import SCENARIO_WORDS, Scenario
from honeybarrow.rehearsal.event_log import EventKind, EventLogEntry
from honeybarrow.rehearsal.fault_injection import LinkCondition, make_link_condition
from honeybarrow.rehearsal.plot import PlotError, plot
from honeybarrow.rehearsal.schema import Fault
from honeybarrow.rehearsal.zone_outages import find_zone_outages
from tests.fleet_days import LogLine, collect_verdicts, list_ejected_zones, make_script
from tests.test_endpoint_filter import full_update, make_endpoint, states_by_target

SECOND = 1_000_000


# --- agents on simulated sockets


class Recorder:
    """A log that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    debug = warning = error = info

    def events(self) -> list[str]:
        return [event for event, _ in self.lines]


class AgentCluster:
    """Agents on hosts of one simulated world."""

    def __init__(self, names: str = "abc", seed: int = 1) -> None:
        self.world = NetworkSimulator(seed)
        self.hosts: dict[str, SimulatedHost] = {}
        self.agents: dict[str, FleetAgent] = {}
        self.published: dict[str, list[MembershipUpdate]] = {}
        self.saved: dict[str, bytes] = {}
        self.logs: dict[str, Recorder] = {}
        self.addresses = {name: ("127.0.0.1", 7000 + i) for i, name in enumerate(names)}
        for name in names:
            self.start_agent(name, 1)

    def start_agent(self, name: str, incarnation: int) -> FleetAgent:
        host = self.hosts[name] = self.world.create_host(name)
        fleet_config = FleetConfig(
            "f", name, name, self.addresses[name], "", dict(self.addresses), SwimConfig(), ZoneConfig()
        )
        log = self.logs[name] = Recorder()
        published = self.published[name] = []
        agent = self.agents[name] = FleetAgent(
            fleet_config,
            incarnation,
            host,
            lambda: self.world.now_us,
            random.Random(f"{name}/{incarnation}"),
            published.append,
            lambda: self.saved.get(name),
            lambda data: self.saved.__setitem__(name, data),
            log,
        )
        agent.start()
        agent.filter_endpoint_update(
            full_update(*(make_endpoint(f"{n}{z}", z, n) for n in (1, 2, 3) for z in "abc"))
        )
        return agent

    def run(self, seconds: float) -> None:
        self.world.run_until(lambda: False, self.world.now_us + int(seconds * SECOND))

    def live_names(self, name: str) -> list[str]:
        return [each.name for each in self.agents[name].list_member_status() if each.state == "alive"]


def test_agents_join_leave_and_rejoin_as_another_incarnation() -> None:
    fleet = AgentCluster()
    fleet.run(3)
    assert all(fleet.live_names(name) == ["a", "b", "c"] for name in "abc")
    fleet.agents["b"].stop()
    fleet.hosts["b"].kill()
    fleet.run(1)
    (gone,) = [each for each in fleet.agents["a"].list_member_status() if each.name == "b"]
    assert gone.state == "left"
    fleet.start_agent("b", 2)
    fleet.run(3)
    assert all(fleet.live_names(name) == ["a", "b", "c"] for name in "abc")
    fleet.hosts["c"].kill()
    fleet.run(20)
    (gone,) = [each for each in fleet.agents["a"].list_member_status() if each.name == "c"]
    assert gone.state == "dead"
    assert "member_dead" in fleet.logs["a"].events()


def test_an_operators_override_reaches_all_and_outlives_a_process() -> None:
    fleet = AgentCluster()
    fleet.run(2)
    answer = fleet.agents["a"].handle_operator_request(SetOverride("b", True, 60 * SECOND))
    assert answer.error == "" and '"held":"out"' in answer.text
    fleet.run(1)
    for name in "abc":
        assert states_by_target(fleet.published[name][-1]) == {
            "1b": "draining",
            "2b": "draining",
            "3b": "draining",
        }
    fleet.hosts["c"].kill()
    again = fleet.start_agent("c", 2)
    assert again.endpoint_filter.get_published_state("1b") is EndpointState.DRAINING, (
        "by what it had saved, before it heard anybody"
    )
    assert (
        fleet.agents["a"]
        .handle_operator_request(SetOverride("x", True, SECOND))
        .error.startswith("the register lists")
    )
    rows = msgspec.json.decode(fleet.agents["b"].handle_operator_request(StatusQuery("zones")).text)
    assert [(each["zone"], each["held"]) for each in rows] == [("a", ""), ("b", "out"), ("c", "")]


def test_fleet_metrics_are_scraped() -> None:
    fleet = AgentCluster()
    fleet.run(2)
    fleet.agents["a"].handle_operator_request(SetOverride("b", True, 60 * SECOND))
    fleet.agents["a"].transport.count_drop("unreadable")
    metrics = Metrics({})
    metrics.register_fleet(fleet.agents["a"].collect_metrics)
    text = metrics.render().decode()
    for line in (
        'honeybarrow_fleet_members{state="alive"} 3.0',
        'honeybarrow_fleet_zone{members_of="",stand="in use",zone="b"} 1.0',
        'honeybarrow_fleet_dropped_total{why="unreadable"} 1.0',
        "honeybarrow_fleet_kept_destinations 0.0",
    ):
        assert line in text
    assert "honeybarrow_fleet_sent_total" in text


def test_unreadable_saved_verdicts_are_ignored() -> None:
    fleet = AgentCluster()
    fleet.hosts["c"].kill()
    fleet.saved["c"] = b"{"
    fleet.start_agent("c", 2)
    assert "saved_verdicts_unreadable" in fleet.logs["c"].events()


def test_invalid_datagrams_are_counted_and_dropped() -> None:
    fleet = AgentCluster()
    fleet.run(3)
    agent, place = fleet.agents["a"], fleet.addresses["a"]
    stranger = fleet.world.create_host("stranger")
    socket: Any = stranger.listenUDP(0, Protocol())
    other = Datagram(wire.WIRE_VERSION, "g", "b", 1, swim.Ack(1))
    for data in (
        b"hello",
        b"x" * 5000,
        wire.encode(other),
        wire.encode(Datagram(2, "f", "b", 1, swim.Ack(1))),
        wire.encode(Datagram(wire.WIRE_VERSION, "f", "a", 9, swim.Ping(1))),
        wire.encode(Datagram(wire.WIRE_VERSION, "f", "b", 0, swim.Ping(1))),
    ):
        socket.write(data, place)
    fleet.run(0.1)
    dropped = agent.transport.dropped
    reasons = ("unreadable", "too long", "other fleet", "other version", "own name", "earlier life")
    assert [dropped[why] for why in reasons] == [1] * 6
    assert fleet.live_names("a") == ["a", "b", "c"]


class StreamClient(ClientFactory):
    """Sends one request on a stream and keeps what comes back."""

    noisy = False

    def __init__(self, data: bytes) -> None:
        self.data, self.received, self.is_closed = data, b"", False

    def buildProtocol(self, addr: Any) -> Protocol:
        client, protocol = self, Protocol()

        def on_connected() -> None:
            stream: Any = protocol.transport
            stream.write(client.data)

        def on_data(data: bytes) -> None:
            client.received += data

        def on_closed(reason: Any = None) -> None:
            client.is_closed = True

        protocol.connectionMade = on_connected  # type: ignore[method-assign]
        protocol.dataReceived = on_data  # type: ignore[method-assign]
        protocol.connectionLost = on_closed  # type: ignore[method-assign]
        return protocol


def body_of(client: StreamClient) -> Any:
    (frame,) = wire.FrameReader().feed(client.received)
    return wire.decode(frame, Frame, "f").body


def test_operators_are_heard_on_loopback_alone() -> None:
    fleet = AgentCluster()
    fleet.run(2)
    question = wire.encode(Frame(wire.WIRE_VERSION, "f", "", 0, StatusQuery("members")))
    near = StreamClient(question)
    fleet.world.create_host("near").connectTCP(*fleet.addresses["a"], near)
    far = StreamClient(question)
    fleet.world.create_host("far", "10.0.0.9").connectTCP(*fleet.addresses["a"], far)
    fleet.run(0.5)
    assert len(msgspec.json.decode(body_of(near).text)) == 3
    assert body_of(far) == OperatorReply(error="operator requests are accepted only from loopback addresses")


def test_streams_are_bounded_in_number_and_time() -> None:
    fleet = AgentCluster()
    fleet.run(2)
    agent = fleet.agents["a"]
    silent = [StreamClient(b"\0\0") for _ in range(40)]
    for client in silent:
        fleet.world.create_host("slow").connectTCP(*fleet.addresses["a"], client)
    fleet.run(0.5)
    assert agent.transport.inbound_streams <= 32
    assert agent.transport.dropped["too many streams"] == 8
    fleet.run(4)
    assert agent.transport.inbound_streams == 0 and all(client.is_closed for client in silent)
    assert agent.transport.dropped["stream late"] >= 32
    bad = StreamClient(wire.encode(Frame(wire.WIRE_VERSION, "g", "", 0, StatusQuery("members"))))
    fleet.world.create_host("bad").connectTCP(*fleet.addresses["a"], bad)
    fleet.run(0.5)
    assert bad.is_closed and not bad.received


def test_a_push_pull_joins_a_partitioned_fleet() -> None:
    fleet = AgentCluster("abcd")
    fleet.run(3)
    for one in "ab":
        for other in "cd":
            fleet.world.link_conditions[one, other] = fleet.world.link_conditions[other, one] = LinkCondition(
                is_cut=True
            )
    fleet.run(40)
    assert fleet.live_names("a") == ["a", "b"] and fleet.live_names("d") == ["c", "d"]
    fleet.agents["a"].handle_operator_request(SetOverride("b", True, 600 * SECOND))
    fleet.world.link_conditions.clear()
    fleet.run(60)
    assert all(fleet.live_names(name) == list("abcd") for name in "abcd")
    assert len({agent.zones.compute_digest() for agent in fleet.agents.values()}) == 1


# --- settings


@pytest.mark.parametrize(
    ("fields", "why"),
    [
        ({"listen": "here", "peers": ["b@127.0.0.1:1"]}, "no host:port"),
        ({"listen": "127.0.0.1:1", "peers": []}, "peers"),
        ({"listen": "127.0.0.1:1", "peers": ["b"]}, "no name@host:port"),
        ({"listen": "127.0.0.1:1", "peers": ["b@127.0.0.1:99999"]}, "no name@host:port"),
        ({"listen": "127.0.0.1:1", "peers": ["b@h:1", "b@h:2"]}, "given twice"),
        ({"listen": "127.0.0.1:1", "peers": ["b@h:1"], "zone": "a//b"}, "zone"),
        ({"listen": "127.0.0.1:1", "peers": ["b@h:1"], "address": "x"}, "address"),
        ({"listen": "127.0.0.1:1", "peers": ["b@h:1"], "first_trial": 9, "last_trial": 8}, "last_trial"),
    ],
)
def test_settings_that_make_no_sense_are_rejected(fields: dict[str, Any], why: str) -> None:
    with pytest.raises(msgspec.ValidationError, match=why):
        msgspec.convert({"name": "f", **fields}, FleetMembershipConfig)


def test_a_fleet_of_one_is_rejected_with_its_line(tmp_path: Path) -> None:
    text = make_script(20000, "", 5, forwarder_count=2).replace("for j in numbers]", "for j in [1]]")
    file = tmp_path / "day.star"
    file.write_text(text, encoding="utf-8")
    done = CliRunner().invoke(main, ["check", str(file), "--name", "f2"])
    assert done.exit_code == 2
    assert "peers name no other forwarder" in done.output


def test_the_command_reports_what_is_wrong(tmp_path: Path) -> None:
    file = tmp_path / "day.star"
    file.write_text(make_script(20300, "", 5, forwarder_count=2), encoding="utf-8")
    run = CliRunner()
    no_answer = run.invoke(main, ["fleet", "members", str(file), "--name", "f1"])
    assert no_answer.exit_code == 1 and "no answer from f1" in no_answer.output
    for arguments, why in (
        (["hold", str(file), "b", "--name", "f1"], "one of --out, --in"),
        (["hold", str(file), "b", "--out", "--for", "soon", "--name", "f1"], "no duration"),
        (["zones", str(file), "--name", "nobody"], "nobody"),
    ):
        done = run.invoke(main, ["fleet", *arguments])
        assert done.exit_code == 2 and why in done.output


# --- whole forwarders in simulated time


def play_day(
    faults: str, length_s: int = 22, forwarder_count: int = 9, **more: Any
) -> tuple[lab.SimulationResult, list[LogLine]]:
    records = config.evaluate_script(
        "day.star", make_script(20600, faults, length_s, forwarder_count, **more), SCENARIO_WORDS
    )
    scenario = next(each for each in records.values() if isinstance(each, Scenario))
    result = lab.run_simulation(
        lab.SimulationConfig(
            scenario, tuple(config.find_all(records, ForwarderConfig)), keep_trace=True, log_level="info"
        )
    )
    lines = [LogLine(each["at"], each["who"], each["what"], each) for each in result.trace]
    assert result.rule_check.has_passed, result.rule_check.violations
    return result, lines


def test_forwarders_avoid_a_silent_zone_together_and_return() -> None:
    result, lines = play_day('trouble("zone_down", at = "6s", last = "6s", who = "b")')
    heard = collect_verdicts(lines, "b")
    assert list(heard) == [1, 2] and list_ejected_zones(lines) == ["b"]
    assert len(heard[1]) == len(heard[2]) == 9
    assert max(heard[1].values()) - min(heard[1].values()) < SECOND // 5
    left = max(heard[1].values()) + SECOND // 10
    ran = [each for each in lines if each.event == "ran" and each.fields["target"].endswith("-b")]
    assert [each for each in ran if each.at > heard[2]["f1"]], "the zone carries messages again"
    calls = [
        each for each in lines if each.event in ("call unheard", "connection given up") and each.at > left
    ]
    assert len(calls) < 40, "after that only trials go there"


def test_a_failing_network_path_is_avoided_by_the_forwarders_of_one_zone() -> None:
    _, lines = play_day('trouble("zone_down", at = "6s", last = "8s", who = "b", met_by = "c")', rate=120.0)
    assert len(collect_verdicts(lines, "b", "c")[1]) == 9, "all know"
    assert collect_verdicts(lines, "b", "") == {}
    assert list_ejected_zones(lines) == ["b"]
    shown = {
        each.forwarder for each in lines if each.event == "endpoint_list_filtered" and each.fields["avoided"]
    }
    assert shown == {"f2", "f5", "f8"}, "and those of zone c leave"


def test_a_zone_partitioned_with_its_forwarders_is_avoided_by_the_others_alone() -> None:
    _, lines = play_day('trouble("zone_cut", at = "6s", last = "8s", who = "b")', 26, rate=90.0)
    inside = {"f1", "f4", "f7"}
    until = 16 * SECOND
    early = [each for each in lines if each.at < until and each.event == "zone_ejected"]
    assert {each.fields["zone"] for each in early} == {"b"}
    assert {each.forwarder for each in early if each.at < 14 * SECOND} == {
        f"f{n}" for n in range(1, 10)
    } - inside
    assert list_ejected_zones(lines) == ["b"]


def test_a_minority_decides_nothing_and_learns_what_was_decided() -> None:
    few = "f1,f2,f3,f4"
    _, lines = play_day(
        f'trouble("link_cut", at = "5s", last = "6s", who = "{few}"),'
        'trouble("zone_down", at = "6s", last = "9s", who = "b")',
        26,
    )
    heard = collect_verdicts(lines, "b")
    assert heard[1].keys() == {f"f{n}" for n in range(1, 10)}
    joined = 12 * SECOND  # the world's clock begins at one second
    assert all((heard[1][name] > joined) == (name in few.split(",")) for name in heard[1])
    assert len(heard[max(heard)]) == 9


def test_a_forwarder_that_lost_its_machine_learns_the_verdict_again() -> None:
    _, lines = play_day(
        'trouble("zone_down", at = "6s", last = "9s", who = "b"),'
        'trouble("machine_lost", at = "10s", last = "1s", who = "f2")'
    )
    again = [each.at for each in lines if (each.forwarder, each.event) == ("f2", "zone_ejected")]
    started = [each.at for each in lines if (each.forwarder, each.event) == ("f2", "restarted")]
    assert len(again) == 2 and again[1] > started[0], "once before, and once by the others"


@pytest.mark.parametrize(
    ("kind", "size", "way"),
    [
        ("link_cut", 1.0, LinkCondition(is_cut=True)),
        ("link_one_way", 1.0, LinkCondition(is_cut=True)),
        ("zone_cut", 1.0, LinkCondition(is_cut=True)),
        ("link_slow", 100.0, LinkCondition(delay_us=100_000, jitter_us=50_000)),
        ("link_lossy", 0.2, LinkCondition(loss_rate=0.2, duplication_rate=0.04, jitter_us=20_000)),
    ],
)
def test_what_a_fault_does_to_a_link(kind: Any, size: float, way: LinkCondition) -> None:
    assert make_link_condition(Fault(kind=kind, start_us=0, magnitude=size)) == way


def test_without_a_fleet_nothing_of_it_listens_or_sends() -> None:
    records = config.evaluate_script("day.star", make_script(20900, "", 5), SCENARIO_WORDS)
    forwarders = [
        msgspec.structs.replace(each, fleet=None) for each in config.find_all(records, ForwarderConfig)
    ]
    scenario = next(each for each in records.values() if isinstance(each, Scenario))
    result = lab.run_simulation(lab.SimulationConfig(scenario, tuple(forwarders), keep_trace=True))
    assert result.rule_check.has_passed
    assert not [
        each for each in result.trace if "fleet" in each or each["what"].startswith(("member", "zone"))
    ]


def entry(at_s: float, what: str, target: str = "p1-b", **fields: Any) -> EventLogEntry:
    return EventLogEntry(int(at_s * SECOND), "p1.example", EventKind(what), {"target": target, **fields})


def test_the_report_on_a_zone_is_read_from_the_stand_ins_alone(tmp_path: Path) -> None:
    records = config.evaluate_script("day.star", make_script(20900, "", 30), SCENARIO_WORDS)
    scenario = next(each for each in records.values() if isinstance(each, Scenario))
    down = EventLogEntry(10 * SECOND, "b", EventKind.ZONE_FAULT, {"kind": "zone_down", "last": 10 * SECOND})
    entries = [entry(n / 10, "call") for n in range(100)]  # ten a second
    entries += [down, entry(10.5, "connection given up"), entry(11, "call unheard", "p1-a")]
    entries += [entry(15, "connection refused"), entry(20, "connection refused")]
    entries += [entry(20 + n / 2, "call") for n in range(4)]  # two a second, as a cold zone bears
    entries += [entry(22 + n / 20, "call") for n in range(40)]  # then twenty
    entries += [entry(30, "call", "p1-c")]
    (found,) = find_zone_outages(entries, scenario, config.find_all(records, ForwarderConfig)[0].policy)
    assert (found.lost_calls, found.late_lost_calls, round(found.usual_calls_per_s)) == (2, 1, 10)
    assert 1.5 * SECOND <= found.half_load_after_us <= 2 * SECOND
    assert 1.8 < found.max_overload < 2.7
    plot(entries, scenario, tmp_path / "day.svg")
    assert "zone b" in (tmp_path / "day.svg").read_text(encoding="utf-8")
    with pytest.raises(PlotError):
        plot(entries, scenario, tmp_path / "day.nothing")
    with pytest.raises(PlotError, match="nothing happened"):
        plot([], scenario, tmp_path / "day.svg")
    assert find_zone_outages([], scenario, config.find_all(records, ForwarderConfig)[0].policy) == []
