"""Deterministic simulation: transports, reproducible runs, the fault search and the ``lab`` commands."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from honeybarrow import config, lab
from honeybarrow.cli.main import main
from honeybarrow.config.schema import ForwarderConfig
from honeybarrow.lab import LinkConfig, NetworkSimulator, SimulatedHost, fault_search
from honeybarrow.lab.message_history import describe_message
from honeybarrow.message_guard import MessageGuard
from honeybarrow.rehearsal import SCENARIO_RECORD_TYPES, Fault, Scenario
from tests import mutants
from tests.fleet_scenarios import make_script

SECOND = 1_000_000
CALM_PATH = Path(lab.__file__).parent.parent / "rehearsal" / "scenarios" / "calm.star"


def read_config(text: str) -> lab.SimulationConfig:
    records = config.evaluate_script("test.star", text, SCENARIO_RECORD_TYPES)
    return lab.SimulationConfig(
        config.find_one(records, Scenario, CALM_PATH), tuple(config.find_all(records, ForwarderConfig))
    )


def rough_scenario() -> lab.SimulationConfig:
    return read_config(mutants.SCENARIO_SCRIPT % (2525, 2600, 2600))


class Connection(NamedTuple):
    """The protocols of both sides of a connection, and their hosts."""

    client_protocol: RecordingProtocol
    server_protocol: RecordingProtocol
    client_host: SimulatedHost
    server_host: SimulatedHost


class RecordingProtocol(Protocol):
    """Records what it receives."""

    transport: Any = None

    def __init__(self) -> None:
        self.data = b""
        self.close_reasons: list[str] = []

    def dataReceived(self, data: bytes) -> None:
        self.data += data

    def connectionLost(self, reason: Any = None) -> None:
        self.close_reasons.append(reason.type.__name__)


def make_factory(base: Any, protocol: RecordingProtocol) -> Any:
    factory = base()
    factory.noisy = False
    factory.buildProtocol = lambda addr: protocol
    factory.failures = []
    if base is ClientFactory:
        factory.clientConnectionFailed = lambda _, reason: factory.failures.append(reason.type.__name__)
    return factory


def connect(simulator: NetworkSimulator) -> Connection:
    client_protocol, server_protocol = RecordingProtocol(), RecordingProtocol()
    client, server = simulator.create_host("client"), simulator.create_host("server")
    server.listenTCP(25, make_factory(Factory, server_protocol))
    client.connectTCP("127.0.0.1", 25, make_factory(ClientFactory, client_protocol))
    simulator.run_until(lambda: server_protocol.transport is not None, 10 * SECOND)
    return Connection(client_protocol, server_protocol, client, server)


@given(st.lists(st.binary(min_size=1, max_size=300), max_size=20), st.integers(0, 50))
def test_a_connection_carries_all_bytes_once_and_in_order(parts: list[bytes], seed: int) -> None:
    simulator = NetworkSimulator(seed, LinkConfig(split_probability=0.5, jitter_us=5_000, bytes_per_s=1e6))
    client_protocol, server_protocol, client, _ = connect(simulator)
    for part in parts:
        client_protocol.transport.write(part)
        simulator.run_until(lambda: False, simulator.now_us + 100)
    client_protocol.transport.loseConnection()
    client_protocol.transport.write(b"too late")
    simulator.run_until(lambda: False, simulator.now_us + 10 * SECOND)
    assert server_protocol.data == b"".join(parts)
    assert client_protocol.close_reasons == server_protocol.close_reasons == ["ConnectionDone"]
    assert client.transports == {}


def test_connect_is_refused_or_times_out_and_connection_is_reset() -> None:
    simulator = NetworkSimulator(1)
    client_protocol, server_protocol, client, server = connect(simulator)
    refused = make_factory(ClientFactory, RecordingProtocol())
    client.connectTCP("127.0.0.1", 99, refused)
    server.listeners[0].is_unresponsive = True
    unanswered = make_factory(ClientFactory, RecordingProtocol())
    client.connectTCP("127.0.0.1", 25, unanswered, timeout=2)
    client_protocol.transport.reset_after_bytes = 5
    client_protocol.transport.write(b"12345678")
    simulator.run_until(lambda: False, simulator.now_us + 5 * SECOND)
    assert refused.failures == ["ConnectionRefusedError"] and unanswered.failures == ["TimeoutError"]
    assert client_protocol.close_reasons == server_protocol.close_reasons == ["ConnectionLost"]


def test_killed_process_runs_no_calls_and_resets_its_connections() -> None:
    simulator = NetworkSimulator(1)
    client_protocol, server_protocol, _, server = connect(simulator)
    called: list[int] = []
    server.callLater(1.0, called.append, 1)
    server.kill()
    simulator.run_until(lambda: False, simulator.now_us + 5 * SECOND)
    assert (
        client_protocol.close_reasons == ["ConnectionLost"]
        and server_protocol.close_reasons == []
        and called == []
    )
    assert simulator.listeners == {}


def test_paused_process_receives_data_after_the_pause() -> None:
    simulator = NetworkSimulator(1)
    client_protocol, server_protocol, _, server = connect(simulator)
    server.pause(2 * SECOND)
    client_protocol.transport.write(b"hello")
    start = simulator.now_us
    simulator.run_until(lambda: bool(server_protocol.data), 100 * SECOND)
    assert simulator.now_us - start >= 2 * SECOND and server_protocol.data == b"hello"


def test_endless_timers_of_a_process_end_the_run() -> None:
    simulator = NetworkSimulator(1)
    host = simulator.create_host("spinner")

    def call_again() -> None:
        host.callLater(1e-6, call_again)

    call_again()
    with pytest.raises(RuntimeError, match="too many events in a simulated second, the last of host spinner"):
        simulator.run_until(lambda: False, 10 * SECOND)


def test_paused_transport_holds_data_back() -> None:
    simulator = NetworkSimulator(1)
    client_protocol, server_protocol, _, _ = connect(simulator)
    server_protocol.transport.pauseProducing()
    client_protocol.transport.write(b"hello")
    simulator.run_until(lambda: False, simulator.now_us + SECOND)
    assert server_protocol.data == b""
    server_protocol.transport.resumeProducing()
    simulator.run_until(lambda: False, simulator.now_us + SECOND)
    assert server_protocol.data == b"hello"


def test_seed_determines_the_run_in_every_process() -> None:
    code = (
        "from tests.test_lab import rough_scenario; from honeybarrow import lab;"
        "print(lab.run_simulation(rough_scenario().with_seed(3)).trace_hash)"
    )
    hashes = [
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert hashes[0] == hashes[1] != ""
    assert lab.run_simulation(rough_scenario().with_seed(3)).trace_hash == hashes[0].strip()
    assert lab.run_simulation(rough_scenario().with_seed(4)).trace_hash != hashes[0].strip()


def test_rules_hold_when_a_forwarder_is_killed_and_paused() -> None:
    scenario_config = rough_scenario()
    killed = Fault(kind="kill", start_us=2 * SECOND, duration_us=SECOND, target="solo")
    paused = Fault(kind="stall", start_us=4 * SECOND, duration_us=SECOND, target="solo")
    faults = (*scenario_config.scenario.faults, killed, paused)
    result = lab.run_simulation(fault_search.with_scenario(scenario_config, faults=faults))
    assert result.rule_check.has_passed and 0.5 < result.utility < 1.0
    assert result.simulated_s >= 6.0


def test_random_faults_depend_on_the_seed_and_survive_a_round_trip_through_a_script() -> None:
    scenario_config = fault_search.draw_faults(rough_scenario(), 5)
    assert scenario_config.scenario.faults == fault_search.draw_faults(rough_scenario(), 5).scenario.faults
    reread = read_config(fault_search.format_script(scenario_config))
    assert reread.scenario == scenario_config.scenario and reread.forwarders == scenario_config.forwarders
    assert lab.run_simulation(reread).trace_hash == lab.run_simulation(scenario_config).trace_hash


def test_search_finds_a_faulty_policy_and_minimizes_the_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    from honeybarrow import sender_state
    from honeybarrow.policy import admission, backoff, lifecycle

    latest_start_us = backoff.latest_start_us

    def ignore_ambiguity(message: sender_state.Message, min_useful_us: int) -> int:
        """Allow retries of messages that may have run."""
        ambiguous_since_us, message.ambiguous_since_us = message.ambiguous_since_us, sender_state.NEVER
        start_us = latest_start_us(message, min_useful_us)
        message.ambiguous_since_us = ambiguous_since_us
        return start_us

    base = rough_scenario()
    assert not any(
        outcome.violated_rules
        for outcome in fault_search.search_faults(base, range(1, 4), 1, lambda outcome: None)
    )
    for module in (admission, backoff, lifecycle):
        monkeypatch.setattr(module, "latest_start_us", ignore_ambiguity)
    monkeypatch.setattr(MessageGuard, "_refuse_retry", lambda *args: None)  # it would refuse the retries
    found = fault_search.search_faults(base, range(1, 13), 1, lambda outcome: None)
    assert found[0].violated_rules == ("effect",)
    minimized = fault_search.minimize(
        fault_search.draw_faults(base, found[0].seed),
        lambda scenario_config: fault_search.run_and_check(scenario_config).violated_rules == ("effect",),
        max_runs=25,
    )
    assert len(minimized.scenario.faults) <= len(found[0].faults)
    assert fault_search.run_and_check(minimized).violated_rules == ("effect",)


def test_exception_of_the_program_becomes_the_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    from honeybarrow.policy import lifecycle

    def crash(*_: Any) -> None:
        raise ZeroDivisionError("planted")

    monkeypatch.setattr(lifecycle, "_retry", crash)
    assert "planted" in fault_search.run_and_check(rough_scenario()).error


def test_message_history_is_extracted_from_the_trace() -> None:
    result = lab.run_simulation(with_trace(rough_scenario()))
    message_id = next(row["message"] for row in result.trace if row["what"] == "ran")
    lines = describe_message(result.trace, message_id)
    text = "\n".join(lines)
    assert "ran" in text and "solo" in text and len(lines) >= 4
    assert describe_message(result.trace, "nothing") == []


def with_trace(scenario_config: lab.SimulationConfig) -> lab.SimulationConfig:
    return lab.SimulationConfig(
        scenario_config.scenario, scenario_config.forwarders, scenario_config.link, keep_trace=True
    )


def test_lab_commands(tmp_path: Path) -> None:
    runner = CliRunner()
    ran = runner.invoke(main, ["lab", "run", "calm", "--quiet"])
    assert ran.exit_code == 0 and "all rules held" in ran.output
    searched = runner.invoke(
        main, ["lab", "search", "calm", "--days", "2", "--jobs", "1", "--keep", str(tmp_path)]
    )
    assert searched.exit_code == 0 and "2 runs of" in searched.output
    saved_scenario = next(tmp_path.glob("*.star"))
    assert runner.invoke(main, ["lab", "run", str(saved_scenario), "--quiet"]).exit_code == 0
    assert runner.invoke(main, ["lab", "explain", "nothing", "calm"]).exit_code == 2


def test_silent_partner_does_not_reply_to_repeated_messages() -> None:
    text = make_script(
        20900,
        'trouble("silent", at = "3s", last = "5s", who = "p1.example")',
        10,
        forwarder_count=2,
        rate=40.0,
    )
    records = config.evaluate_script("day.star", text, SCENARIO_RECORD_TYPES)
    scenario_config = lab.SimulationConfig(
        config.find_one(records, Scenario, CALM_PATH), tuple(config.find_all(records, ForwarderConfig))
    )
    entries = [each for each in lab.run_simulation(scenario_config).entries if each.source == "p1.example"]
    started_us, ended_us = [each.at_us for each in entries if each.kind == "trouble"]
    during = [each for each in entries if started_us + 100_000 < each.at_us < ended_us]
    assert [each for each in during if each.kind == "dropped"], "no message was repeated"
    assert not [each for each in during if each.kind == "replied" and each["final"]]
