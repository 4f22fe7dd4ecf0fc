"""Tests of fleet agents on simulated sockets, fleet settings and commands, and simulated forwarders."""

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
from honeybarrow.rehearsal import SCENARIO_RECORD_TYPES, Scenario
from honeybarrow.rehearsal.event_log import EventKind, EventLogEntry
from honeybarrow.rehearsal.fault_injection import LinkCondition, make_link_condition
from honeybarrow.rehearsal.plot import PlotError, plot
from honeybarrow.rehearsal.schema import Fault
from honeybarrow.rehearsal.zone_outages import find_zone_outages
from tests.fleet_scenarios import LogLine, collect_verdicts, list_ejected_zones, make_script
from tests.test_endpoint_filter import full_update, make_endpoint, states_by_target

SECOND = 1_000_000


# --- agents on simulated sockets


class EventRecorder:
    """Logger that records its events."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    debug = warning = error = info

    def events(self) -> list[str]:
        return [event for event, _ in self.lines]


class AgentCluster:
    """Fleet agents on hosts of a simulated network."""

    def __init__(self, names: str = "abc", seed: int = 1) -> None:
        self.network = NetworkSimulator(seed)
        self.hosts: dict[str, SimulatedHost] = {}
        self.agents: dict[str, FleetAgent] = {}
        self.published: dict[str, list[MembershipUpdate]] = {}
        self.saved: dict[str, bytes] = {}
        self.logs: dict[str, EventRecorder] = {}
        self.addresses = {name: ("127.0.0.1", 7000 + i) for i, name in enumerate(names)}
        for name in names:
            self.start_agent(name, 1)

    def start_agent(self, name: str, incarnation: int) -> FleetAgent:
        host = self.hosts[name] = self.network.create_host(name)
        fleet_config = FleetConfig(
            "f", name, name, self.addresses[name], "", dict(self.addresses), SwimConfig(), ZoneConfig()
        )
        log = self.logs[name] = EventRecorder()
        published = self.published[name] = []
        agent = self.agents[name] = FleetAgent(
            fleet_config,
            incarnation,
            host,
            lambda: self.network.now_us,
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
        self.network.run_until(lambda: False, self.network.now_us + int(seconds * SECOND))

    def live_names(self, name: str) -> list[str]:
        return [each.name for each in self.agents[name].list_member_status() if each.state == "alive"]


def test_agents_join_leave_and_rejoin_with_a_new_incarnation() -> None:
    fleet = AgentCluster()
    fleet.run(3)
    assert all(fleet.live_names(name) == ["a", "b", "c"] for name in "abc")
    fleet.agents["b"].stop()
    fleet.hosts["b"].kill()
    fleet.run(1)
    (departed,) = [each for each in fleet.agents["a"].list_member_status() if each.name == "b"]
    assert departed.state == "left"
    fleet.start_agent("b", 2)
    fleet.run(3)
    assert all(fleet.live_names(name) == ["a", "b", "c"] for name in "abc")
    fleet.hosts["c"].kill()
    fleet.run(20)
    (departed,) = [each for each in fleet.agents["a"].list_member_status() if each.name == "c"]
    assert departed.state == "dead"
    assert "member_dead" in fleet.logs["a"].events()


def test_operator_override_reaches_all_members_and_survives_a_restart() -> None:
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
    restarted = fleet.start_agent("c", 2)
    assert restarted.endpoint_filter.get_published_state("1b") is EndpointState.DRAINING, (
        "restored from saved verdicts before any message arrives"
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
    agent, address = fleet.agents["a"], fleet.addresses["a"]
    stranger = fleet.network.create_host("stranger")
    socket: Any = stranger.listenUDP(0, Protocol())
    other_fleet = Datagram(wire.WIRE_VERSION, "g", "b", 1, swim.Ack(1))
    for data in (
        b"hello",
        b"x" * 5000,
        wire.encode(other_fleet),
        wire.encode(Datagram(2, "f", "b", 1, swim.Ack(1))),
        wire.encode(Datagram(wire.WIRE_VERSION, "f", "a", 9, swim.Ping(1))),
        wire.encode(Datagram(wire.WIRE_VERSION, "f", "b", 0, swim.Ping(1))),
    ):
        socket.write(data, address)
    fleet.run(0.1)
    dropped = agent.transport.dropped
    reasons = ("unreadable", "too long", "other fleet", "other version", "own name", "earlier life")
    assert [dropped[reason] for reason in reasons] == [1] * 6
    assert fleet.live_names("a") == ["a", "b", "c"]


class StreamClient(ClientFactory):
    """Sends one request on a stream and stores the reply."""

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


def decode_reply_body(client: StreamClient) -> Any:
    (frame,) = wire.FrameReader().feed(client.received)
    return wire.decode(frame, Frame, "f").body


def test_operator_requests_are_accepted_only_from_loopback() -> None:
    fleet = AgentCluster()
    fleet.run(2)
    request = wire.encode(Frame(wire.WIRE_VERSION, "f", "", 0, StatusQuery("members")))
    local = StreamClient(request)
    fleet.network.create_host("near").connectTCP(*fleet.addresses["a"], local)
    remote = StreamClient(request)
    fleet.network.create_host("far", "10.0.0.9").connectTCP(*fleet.addresses["a"], remote)
    fleet.run(0.5)
    assert len(msgspec.json.decode(decode_reply_body(local).text)) == 3
    assert decode_reply_body(remote) == OperatorReply(
        error="operator requests are accepted only from loopback addresses"
    )


def test_streams_are_limited_in_number_and_duration() -> None:
    fleet = AgentCluster()
    fleet.run(2)
    agent = fleet.agents["a"]
    silent = [StreamClient(b"\0\0") for _ in range(40)]
    for client in silent:
        fleet.network.create_host("slow").connectTCP(*fleet.addresses["a"], client)
    fleet.run(0.5)
    assert agent.transport.inbound_streams <= 32
    assert agent.transport.dropped["too many streams"] == 8
    fleet.run(4)
    assert agent.transport.inbound_streams == 0 and all(client.is_closed for client in silent)
    assert agent.transport.dropped["stream late"] >= 32
    wrong_fleet = StreamClient(wire.encode(Frame(wire.WIRE_VERSION, "g", "", 0, StatusQuery("members"))))
    fleet.network.create_host("bad").connectTCP(*fleet.addresses["a"], wrong_fleet)
    fleet.run(0.5)
    assert wrong_fleet.is_closed and not wrong_fleet.received


def test_push_pull_merges_a_partitioned_fleet() -> None:
    fleet = AgentCluster("abcd")
    fleet.run(3)
    for one in "ab":
        for other in "cd":
            fleet.network.link_conditions[one, other] = fleet.network.link_conditions[other, one] = (
                LinkCondition(is_cut=True)
            )
    fleet.run(40)
    assert fleet.live_names("a") == ["a", "b"] and fleet.live_names("d") == ["c", "d"]
    fleet.agents["a"].handle_operator_request(SetOverride("b", True, 600 * SECOND))
    fleet.network.link_conditions.clear()
    fleet.run(60)
    assert all(fleet.live_names(name) == list("abcd") for name in "abcd")
    assert len({agent.zone_coordinator.compute_digest() for agent in fleet.agents.values()}) == 1


# --- settings


@pytest.mark.parametrize(
    ("fields", "message"),
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
def test_invalid_settings_are_rejected(fields: dict[str, Any], message: str) -> None:
    with pytest.raises(msgspec.ValidationError, match=message):
        msgspec.convert({"name": "f", **fields}, FleetMembershipConfig)


def test_fleet_without_peers_is_rejected(tmp_path: Path) -> None:
    text = make_script(20000, "", 5, forwarder_count=2).replace("for j in numbers]", "for j in [1]]")
    file = tmp_path / "day.star"
    file.write_text(text, encoding="utf-8")
    result = CliRunner().invoke(main, ["check", str(file), "--name", "f2"])
    assert result.exit_code == 2
    assert "peers name no other forwarder" in result.output


def test_fleet_command_reports_errors(tmp_path: Path) -> None:
    file = tmp_path / "day.star"
    file.write_text(make_script(20300, "", 5, forwarder_count=2), encoding="utf-8")
    runner = CliRunner()
    no_answer = runner.invoke(main, ["fleet", "members", str(file), "--name", "f1"])
    assert no_answer.exit_code == 1 and "no answer from f1" in no_answer.output
    for arguments, message in (
        (["hold", str(file), "b", "--name", "f1"], "one of --out, --in"),
        (["hold", str(file), "b", "--out", "--for", "soon", "--name", "f1"], "no duration"),
        (["zones", str(file), "--name", "nobody"], "nobody"),
    ):
        result = runner.invoke(main, ["fleet", *arguments])
        assert result.exit_code == 2 and message in result.output


# --- whole forwarders in simulated time


def run_scenario(
    faults: str, length_s: int = 22, forwarder_count: int = 9, **more: Any
) -> tuple[lab.SimulationResult, list[LogLine]]:
    records = config.evaluate_script(
        "day.star", make_script(20600, faults, length_s, forwarder_count, **more), SCENARIO_RECORD_TYPES
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


def test_forwarders_avoid_a_silent_zone_and_use_it_again_after_recovery() -> None:
    result, lines = run_scenario('trouble("zone_down", at = "6s", last = "6s", who = "b")')
    verdicts = collect_verdicts(lines, "b")
    assert list(verdicts) == [1, 2] and list_ejected_zones(lines) == ["b"]
    assert len(verdicts[1]) == len(verdicts[2]) == 9
    assert max(verdicts[1].values()) - min(verdicts[1].values()) < SECOND // 5
    avoided_from = max(verdicts[1].values()) + SECOND // 10
    completed_calls = [each for each in lines if each.event == "ran" and each.fields["target"].endswith("-b")]
    assert [each for each in completed_calls if each.at > verdicts[2]["f1"]], (
        "the zone carries messages again"
    )
    lost_calls = [
        each
        for each in lines
        if each.event in ("call unheard", "connection given up") and each.at > avoided_from
    ]
    assert len(lost_calls) < 40, "only trial calls go to an avoided zone"


def test_a_failing_network_path_is_avoided_by_the_forwarders_of_one_zone() -> None:
    _, lines = run_scenario(
        'trouble("zone_down", at = "6s", last = "8s", who = "b", met_by = "c")', rate=120.0
    )
    assert len(collect_verdicts(lines, "b", "c")[1]) == 9, "all forwarders know the verdict"
    assert collect_verdicts(lines, "b", "") == {}
    assert list_ejected_zones(lines) == ["b"]
    avoiding = {
        each.forwarder for each in lines if each.event == "endpoint_list_filtered" and each.fields["avoided"]
    }
    assert avoiding == {"f2", "f5", "f8"}, "only the forwarders in zone c avoid it"


def test_zone_partitioned_with_its_forwarders_is_avoided_only_by_the_others() -> None:
    _, lines = run_scenario('trouble("zone_cut", at = "6s", last = "8s", who = "b")', 26, rate=90.0)
    inside = {"f1", "f4", "f7"}
    limit = 16 * SECOND
    early = [each for each in lines if each.at < limit and each.event == "zone_ejected"]
    assert {each.fields["zone"] for each in early} == {"b"}
    assert {each.forwarder for each in early if each.at < 14 * SECOND} == {
        f"f{n}" for n in range(1, 10)
    } - inside
    assert list_ejected_zones(lines) == ["b"]


def test_partitioned_minority_makes_no_decision_and_learns_the_verdict_later() -> None:
    minority = "f1,f2,f3,f4"
    _, lines = run_scenario(
        f'trouble("link_cut", at = "5s", last = "6s", who = "{minority}"),'
        'trouble("zone_down", at = "6s", last = "9s", who = "b")',
        26,
    )
    verdicts = collect_verdicts(lines, "b")
    assert verdicts[1].keys() == {f"f{n}" for n in range(1, 10)}
    healed_at = 12 * SECOND  # the simulated clock starts at one second
    assert all((verdicts[1][name] > healed_at) == (name in minority.split(",")) for name in verdicts[1])
    assert len(verdicts[max(verdicts)]) == 9


def test_forwarder_learns_the_verdict_again_after_losing_its_machine() -> None:
    _, lines = run_scenario(
        'trouble("zone_down", at = "6s", last = "9s", who = "b"),'
        'trouble("machine_lost", at = "10s", last = "1s", who = "f2")'
    )
    ejected_at = [each.at for each in lines if (each.forwarder, each.event) == ("f2", "zone_ejected")]
    restarted_at = [each.at for each in lines if (each.forwarder, each.event) == ("f2", "restarted")]
    assert len(ejected_at) == 2 and ejected_at[1] > restarted_at[0], "learnt again from the others"


@pytest.mark.parametrize(
    ("kind", "magnitude", "expected"),
    [
        ("link_cut", 1.0, LinkCondition(is_cut=True)),
        ("link_one_way", 1.0, LinkCondition(is_cut=True)),
        ("zone_cut", 1.0, LinkCondition(is_cut=True)),
        ("link_slow", 100.0, LinkCondition(delay_us=100_000, jitter_us=50_000)),
        ("link_lossy", 0.2, LinkCondition(loss_rate=0.2, duplication_rate=0.04, jitter_us=20_000)),
    ],
)
def test_link_faults_map_to_link_conditions(kind: Any, magnitude: float, expected: LinkCondition) -> None:
    assert make_link_condition(Fault(kind=kind, start_us=0, magnitude=magnitude)) == expected


def test_forwarder_without_fleet_settings_starts_no_agent() -> None:
    records = config.evaluate_script("day.star", make_script(20900, "", 5), SCENARIO_RECORD_TYPES)
    forwarders = [
        msgspec.structs.replace(each, fleet=None) for each in config.find_all(records, ForwarderConfig)
    ]
    scenario = next(each for each in records.values() if isinstance(each, Scenario))
    result = lab.run_simulation(lab.SimulationConfig(scenario, tuple(forwarders), keep_trace=True))
    assert result.rule_check.has_passed
    assert not [
        each for each in result.trace if "fleet" in each or each["what"].startswith(("member", "zone"))
    ]


def make_entry(at_s: float, kind: str, target: str = "p1-b", **fields: Any) -> EventLogEntry:
    return EventLogEntry(int(at_s * SECOND), "p1.example", EventKind(kind), {"target": target, **fields})


def test_zone_outage_report_uses_only_events_of_the_stand_ins(tmp_path: Path) -> None:
    records = config.evaluate_script("day.star", make_script(20900, "", 30), SCENARIO_RECORD_TYPES)
    scenario = next(each for each in records.values() if isinstance(each, Scenario))
    down = EventLogEntry(10 * SECOND, "b", EventKind.ZONE_FAULT, {"kind": "zone_down", "last": 10 * SECOND})
    entries = [make_entry(n / 10, "call") for n in range(100)]  # ten a second
    entries += [down, make_entry(10.5, "connection given up"), make_entry(11, "call unheard", "p1-a")]
    entries += [make_entry(15, "connection refused"), make_entry(20, "connection refused")]
    entries += [make_entry(20 + n / 2, "call") for n in range(4)]  # two a second, the rate of a cold zone
    entries += [make_entry(22 + n / 20, "call") for n in range(40)]  # twenty a second
    entries += [make_entry(30, "call", "p1-c")]
    (outage,) = find_zone_outages(entries, scenario, config.find_all(records, ForwarderConfig)[0].policy)
    assert (outage.lost_calls, outage.late_lost_calls, round(outage.usual_calls_per_s)) == (2, 1, 10)
    assert 1.5 * SECOND <= outage.half_load_after_us <= 2 * SECOND
    assert 1.8 < outage.max_overload < 2.7
    plot(entries, scenario, tmp_path / "day.svg")
    assert "zone b" in (tmp_path / "day.svg").read_text(encoding="utf-8")
    with pytest.raises(PlotError):
        plot(entries, scenario, tmp_path / "day.nothing")
    with pytest.raises(PlotError, match="nothing happened"):
        plot([], scenario, tmp_path / "day.svg")
    assert find_zone_outages([], scenario, config.find_all(records, ForwarderConfig)[0].policy) == []
