"""``honeybarrow fleet``: shows the fleet status of a running forwarder and overrides verdicts on zones."""

from __future__ import annotations

import json
import socket
import sys
from pathlib import Path
from typing import Any

import click

from honeybarrow import config
from honeybarrow.addressing.address import parse_host_port
from honeybarrow.config import schema
from honeybarrow.config.script import parse_duration_us
from honeybarrow.errors import format_error
from honeybarrow.fleet.wire import (
    WIRE_VERSION,
    DropReason,
    Frame,
    FrameBody,
    FrameReader,
    OperatorReply,
    SetOverride,
    StatusQuery,
    WireError,
    decode,
    encode,
)
from honeybarrow.rehearsal.schema import SCENARIO_RECORD_TYPES

REPLY_TIMEOUT_S = 5.0

file_argument = click.argument("file", type=click.Path(path_type=Path))
name_option = click.option("--name", default="", help="Name of the forwarder, if FILE defines several.")
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def fleet() -> None:
    """Show or override the fleet status of a running forwarder, whose settings are in FILE."""


@fleet.command("members")
@file_argument
@name_option
@json_option
def list_members(file: Path, name: str, as_json: bool) -> None:
    """List the members of the fleet with their zones and states."""
    rows = query_forwarder(file, name, StatusQuery("members"))
    print_table(rows, ("name", "zone", "state", "since_s", "address"), as_json)


@fleet.command("zones")
@file_argument
@name_option
@json_option
def list_zones(file: Path, name: str, as_json: bool) -> None:
    """List the zones with their status and the verdicts behind it."""
    print_zones(query_forwarder(file, name, StatusQuery("zones")), as_json)


@fleet.command("hold")
@file_argument
@click.argument("zone")
@click.option("--out", "override", flag_value="out", help="Avoid the zone.")
@click.option("--in", "override", flag_value="in", help="Use the zone regardless of the fleet's verdict.")
@click.option(
    "--withdraw", "override", flag_value="withdraw", help="End an override and return to the fleet's verdict."
)
@click.option(
    "--for",
    "duration",
    default="10m",
    show_default=True,
    help="Duration of the override, such as 90s or 15m.",
)
@name_option
@json_option
def set_override(
    file: Path, zone: str, override: str | None, duration: str, name: str, as_json: bool
) -> None:
    """Override the verdicts on a ZONE or region for all forwarders of the fleet."""
    if override is None:
        raise click.UsageError("one of --out, --in and --withdraw is required")
    try:
        override_us = parse_duration_us(duration)
    except ValueError as error:
        raise click.UsageError(f"--for: {error}") from None
    eject = None if override == "withdraw" else override == "out"
    print_zones(query_forwarder(file, name, SetOverride(zone, eject, override_us)), as_json)


def print_zones(rows: list[dict[str, Any]], as_json: bool) -> None:
    """Print zones as a table or as JSON."""
    print_table(
        rows,
        ("zone", "members_of", "stand", "held", "held_for_s", "since_s", "number", "lost", "votes"),
        as_json,
    )


def print_table(rows: list[dict[str, Any]], columns: tuple[str, ...], as_json: bool) -> None:
    """Print rows with aligned columns or as JSON."""
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    table = [list(columns)]
    table += [["-" if row[column] in (None, "") else str(row[column]) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in table) for i in range(len(columns))]
    for line in table:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def query_forwarder(file: Path, name: str, body: StatusQuery | SetOverride) -> list[dict[str, Any]]:
    """Send a query to the forwarder of a settings file and return the rows of its reply.

    Exits with status 1 if there is no reply and with 2 if the reply is an error.
    """
    try:
        settings = config.find_one(
            config.read_script(file, SCENARIO_RECORD_TYPES), schema.ForwarderConfig, file, name
        )
    except config.ScriptError as error:
        raise click.UsageError(format_error(error)) from None
    if settings.fleet is None:
        raise click.UsageError(f"{file}: forwarder {settings.name} has no fleet")
    address = parse_host_port(settings.fleet.listen)
    assert address is not None  # validated by the settings
    try:
        reply = exchange_frame(address, settings.fleet.name, body)
    except (OSError, WireError) as error:
        forwarder = f"{settings.name} at {settings.fleet.listen}"
        click.echo(f"honeybarrow: no answer from {forwarder}: {format_error(error)}", err=True)
        sys.exit(1)
    if reply.error:
        click.echo(f"honeybarrow: {reply.error}", err=True)
        sys.exit(2)
    rows: list[dict[str, Any]] = json.loads(reply.text)
    return rows


def exchange_frame(address: tuple[str, int], fleet_name: str, body: FrameBody) -> OperatorReply:
    """Send one request and return the reply. Raises ``OSError`` and ``WireError``."""
    reader = FrameReader()
    with socket.create_connection(address, REPLY_TIMEOUT_S) as stream:
        stream.settimeout(REPLY_TIMEOUT_S)
        stream.sendall(encode(Frame(WIRE_VERSION, fleet_name, "", 0, body)))
        while data := stream.recv(65536):
            for frame in reader.feed(data):
                reply = decode(frame, Frame, fleet_name).body
                if isinstance(reply, OperatorReply):
                    return reply
                raise WireError(DropReason.UNREADABLE)
    raise WireError("connection closed without a reply; does the forwarder belong to this fleet?")
