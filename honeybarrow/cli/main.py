"""The ``honeybarrow`` command and its subcommands.

Exit statuses: 0 success, 1 a broken rule or a failure of the service, 2 invalid usage or settings, 3 a listen
address that is not available, 70 an internal error.
"""

from __future__ import annotations

import os
import random
import sys
from pathlib import Path
from typing import Any

import click
import msgspec

from honeybarrow import __version__
from honeybarrow.admission.identity import hash_password
from honeybarrow.cli import fleet, lab, soak
from honeybarrow.cli.exits import CANNOT_LISTEN, fail
from honeybarrow.cli.logs import LEVELS, configure_logging
from honeybarrow.cli.scripts import SCENARIOS, find_scenario, read_forwarder, read_scenario
from honeybarrow.errors import USAGE_EXIT_STATUS, InvalidValueError
from honeybarrow.rehearsal.schema import LINK_FAULT_KINDS
from honeybarrow.settings import validate_settings

log_options = [
    click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True),
    click.option("--log-level", type=click.Choice(list(LEVELS)), default="info", show_default=True),
]


def with_log_options(command: Any) -> Any:
    """Add the log options to a command."""
    for option in reversed(log_options):
        command = option(command)
    return command


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="honeybarrow")
def main() -> None:
    """Deliver messages to many partners over SMTP and LMTP, with one final result for each."""


name_option = click.option("--name", default="", help="Name of the forwarder, if FILE defines several.")


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@name_option
def check(file: Path, name: str) -> None:
    """Check a forwarder's settings FILE and print a summary."""
    settings = read_forwarder(file, name)
    try:
        validate_settings(settings.policy_settings())
    except InvalidValueError as error:
        fail(InvalidValueError(f"{file}: {error}"))
    click.echo(f"{file}: forwarder {settings.name}, {len(settings.classes)} classes, {settings.slots} slots")
    for message_class in settings.classes:
        click.echo(
            f"  class {message_class.name}: {message_class.idempotency},"
            f" aim {message_class.latency_objective_us / 1e6:g} s,"
            f" deadline {message_class.deadline_us / 1e6:g} s"
        )
    for listener in settings.listeners:
        click.echo(f"  {listener.protocol} on {listener.host}:{listener.port}")


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@name_option
@with_log_options
def run(file: Path, name: str, log_format: str, log_level: str) -> None:
    """Run a forwarder with the settings in FILE until SIGTERM."""
    settings = read_forwarder(file, name)
    log = configure_logging(log_format == "json", log_level, forwarder=settings.name)
    from honeybarrow.cli.run import ForwarderProcess

    sys.exit(ForwarderProcess(settings, log).run())


@main.command("stand-ins")
@click.argument("file", type=click.Path(path_type=Path))
@with_log_options
def stand_ins(file: Path, log_format: str, log_level: str) -> None:
    """Run the stand-in partners and register of a scenario FILE, with their faults, until SIGTERM."""
    scenario, forwarders = read_scenario(file)
    log = configure_logging(log_format == "json", log_level, stand_ins=scenario.name)
    from twisted.internet.error import CannotListenError

    from honeybarrow.cli.run import monotonic_us
    from honeybarrow.reactor import get_reactor
    from honeybarrow.rehearsal import EventLog, StandInEnvironment

    reactor = get_reactor()

    event_log = EventLog(
        monotonic_us,
        keep_entries=False,
        on_entry=lambda entry: log.info(entry.kind, by=entry.source, **entry.fields),
    )
    try:
        stand_ins = StandInEnvironment(scenario, forwarders, reactor, event_log)
    except CannotListenError as error:
        fail(str(error), CANNOT_LISTEN)
    for partner in scenario.partners:
        for endpoint in partner.endpoints:
            port = stand_ins.ports[endpoint.target]
            log.info("listening", partner=partner.name, endpoint=endpoint.target, port=port)
    log.info("listening", register=stand_ins.register_port)
    for fault in scenario.faults:
        if fault.kind not in ("kill", "machine_lost", "stall", "burst", "zone_cut", *LINK_FAULT_KINDS):
            reactor.callLater(fault.start_us / 1e6, stand_ins.start_fault, fault)
    reactor.run()


@main.command()
@click.argument("file", type=click.Path(path_type=Path), required=False)
@click.option("--list", "listing", is_flag=True, help="List the scenarios that come with the program.")
@click.option("--seed", type=int, default=None, help="Seed to use in place of the scenario's.")
@click.option(
    "--report", type=click.Path(path_type=Path), default=None, help="Write the report to this file."
)
@click.option("--keep", type=click.Path(path_type=Path), default=None, help="Keep all logs in this folder.")
@click.option("--plot", "plot_file", type=click.Path(path_type=Path), help="Plot the run into this file.")
def rehearse(
    file: Path | None,
    listing: bool,
    seed: int | None,
    report: Path | None,
    keep: Path | None,
    plot_file: Path | None,
) -> None:
    """Run a scenario against forwarder processes and check the rules.

    Without FILE, the scenario bad-day is run.
    """
    bundled_scenarios = sorted(SCENARIOS.glob("*.star"))
    if listing:
        for scenario_path in bundled_scenarios:
            summary = scenario_path.read_text(encoding="utf-8").partition("\n")[0].lstrip("# ")
            click.echo(f"{scenario_path.stem:16} {summary}")
        return
    path, scenario, forwarders = find_scenario(file)
    if seed is not None:
        scenario = msgspec.structs.replace(scenario, seed=seed)
    from honeybarrow.cli.launch import run_rehearsal

    sys.exit(run_rehearsal(path, scenario, forwarders, report, keep, plot_file))


@main.command()
@click.argument("recipients", nargs=-1, required=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=2525, show_default=True, type=click.IntRange(1, 65535))
@click.option("--lmtp", is_flag=True, help="Use LMTP, with all recipients in one transaction.")
@click.option("--sender", default="", help="Envelope sender; empty for none.")
@click.option(
    "--file", type=click.File("rb"), default="-", help="Message to send; standard input by default."
)
@click.option("--by", "by_s", type=click.IntRange(1, 86_400), default=None, help="Seconds to deliver in.")
@click.option(
    "--id", "envelope_id", default="", help="Envelope id; reuse it to submit the same message again."
)
@click.option("--timeout", default=60.0, show_default=True, help="Seconds to wait for a result.")
def send(
    recipients: tuple[str, ...],
    host: str,
    port: int,
    lmtp: bool,
    sender: str,
    file: Any,
    by_s: int | None,
    envelope_id: str,
    timeout: float,
) -> None:
    """Submit a message and print the result for each recipient.

    Exit status: 0 all delivered, 75 some refused (retry later), 69 some failed, 2 invalid usage.
    """
    from honeybarrow.cli.send import submit

    content = file.read(MAX_MESSAGE_BYTES + 1)
    if len(content) > MAX_MESSAGE_BYTES:
        fail(f"the message is longer than {MAX_MESSAGE_BYTES} bytes", USAGE_EXIT_STATUS)
    try:
        sys.exit(submit(host, port, lmtp, sender, recipients, content, by_s, envelope_id, timeout))
    except ValueError as error:
        fail(str(error), USAGE_EXIT_STATUS)


MAX_MESSAGE_BYTES = 64 << 20


@main.command("addresses")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--settings", "script", type=click.Path(path_type=Path), help="Settings of a forwarder.")
@name_option
def print_addresses(file: Path, script: Path | None, name: str) -> None:
    """Print the order in which the addresses of each endpoint in a saved list FILE are tried, and why.

    With --settings, the order takes the zone of the forwarder into account, and addresses that its settings
    forbid are marked.
    """
    from honeybarrow.addressing.address_health import AddressHealth
    from honeybarrow.addressing.egress_policy import EgressPolicy
    from honeybarrow.register import ListError, PartnerDirectory, to_address

    directory = PartnerDirectory()
    try:
        directory.apply_line(file.read_bytes(), is_saved=True)
    except OSError as error:
        fail(f"{file}: {error}", USAGE_EXIT_STATUS)
    except ListError as error:
        fail(error)
    settings = read_forwarder(script, name) if script else None
    address_health = AddressHealth(random.Random(1), settings.zone if settings else "")
    egress_policy = (
        EgressPolicy(
            settings.allowed_networks,
            settings.denied_networks,
            settings.socket_directories,
            settings.allows_shared_networks,
        )
        if settings
        else None
    )
    for target, entry in directory.endpoints.items():
        click.echo(f"{target} ({directory.partners[entry.destination].name}, {entry.state})")
        addresses = [to_address(address) for address in entry.addresses]
        violations = [
            egress_policy.find_violation(address, entry.destination, directory.owned_networks)
            if egress_policy
            else ""
            for address in addresses
        ]
        allowed = [address for address, violation in zip(addresses, violations, strict=True) if not violation]
        for number, choice in enumerate(address_health.rank_addresses(0, allowed), start=1):
            protocol = "lmtp" if choice.address.is_lmtp else "smtp"
            click.echo(f"  {number}. {choice.address} {protocol}: {choice.reason}")
        for address, violation in zip(addresses, violations, strict=True):
            if violation:
                click.echo(f"  -  {address}: not tried, {violation}")


@main.command("hash-password")
@click.argument("name")
@click.password_option()
def print_password_line(name: str, password: str) -> None:
    """Print a line for an accounts file."""
    click.echo(f"{name}:{hash_password(password.encode(), os.urandom(16))}")


main.add_command(fleet.fleet)
main.add_command(lab.lab)
main.add_command(soak.soak)
