"""``honeybarrow lab``: simulated runs of scenarios, the search for failing ones and message histories."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from pathlib import Path

import click

from honeybarrow import lab as laboratory
from honeybarrow.cli.scripts import find_scenario
from honeybarrow.errors import format_error
from honeybarrow.lab import fault_search
from honeybarrow.lab.message_history import describe_message
from honeybarrow.rehearsal import Scenario, format_report
from honeybarrow.rehearsal.event_log import EventLogEntry
from honeybarrow.rehearsal.plot import PlotError, plot


def draw_plot(entries: Sequence[EventLogEntry], scenario: Scenario, path: Path) -> None:
    """Write a plot of a run to a file, or print an error if that fails."""
    try:
        plot(entries, scenario, path)
    except PlotError as error:
        click.echo(f"honeybarrow: {path}: {format_error(error)}", err=True)


def read_simulation_config(file: Path | None, seed: int | None) -> laboratory.SimulationConfig:
    """Return the simulation of a scenario given by file or name. Exits if it can't be read.

    ``seed`` replaces the seed of the scenario.
    """
    _, scenario, forwarders = find_scenario(file)
    simulation = laboratory.SimulationConfig(scenario, tuple(forwarders))
    return simulation if seed is None else simulation.with_seed(seed)


scenario_argument = click.argument("file", type=click.Path(path_type=Path), required=False)
seed_option = click.option("--seed", type=click.IntRange(0), default=None)


@click.group("lab")
def lab() -> None:
    """Run scenarios in simulated time: the unchanged program on a simulated clock and network."""


@lab.command()
@scenario_argument
@seed_option
@click.option("--quiet", is_flag=True, help="Print the result only.")
@click.option("--plot", "plot_file", type=click.Path(path_type=Path), help="Plot the run into this file.")
def run(file: Path | None, seed: int | None, quiet: bool, plot_file: Path | None) -> None:
    """Run a scenario and check the rules; exit status 1 if a rule is broken."""
    simulation = read_simulation_config(file, seed)
    result = laboratory.run_simulation(simulation, lambda text: None if quiet else click.echo(text, err=True))
    click.echo(format_report(result.rule_check, simulation.scenario.name, simulation.scenario.seed))
    click.echo(
        f"\n  utility {result.utility:.4f}; {result.simulated_s:.1f} s simulated in {result.elapsed_s:.1f} s,"
        f" {result.event_count} events, trace {result.trace_hash[:16]} of {result.trace_line_count} lines"
    )
    if plot_file is not None:
        draw_plot(result.entries, simulation.scenario, plot_file)
    sys.exit(0 if result.rule_check.has_passed else 1)


@lab.command()
@scenario_argument
@click.option("--days", type=click.IntRange(1, 100_000), default=40, show_default=True)
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first run.")
@click.option("--jobs", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default="all cores")
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="Folder for the script of the worst run, reduced to few faults.",
)
def search(file: Path | None, days: int, first: int, jobs: int, keep: Path | None) -> None:
    """Run a scenario with random faults many times; exit status 1 if a run breaks a rule.

    The faults of a run are drawn from its seed; ``--days`` is the number of runs.
    """
    simulation = read_simulation_config(file, None)
    outcomes = fault_search.search_faults(simulation, range(first, first + days), jobs, print_failed_run)
    click.echo(f"{days} runs of {simulation.scenario.name}; the worst:")
    for outcome in outcomes[:5]:
        faults = ", ".join(f"{fault.kind} {fault.target}".strip() for fault in outcome.faults)
        verdict = outcome.error or (
            "breaks " + ", ".join(outcome.violated_rules) if outcome.violated_rules else "rules held"
        )
        click.echo(f"  seed {outcome.seed:6} utility {outcome.utility:.4f}  {verdict}  [{faults}]")
    worst = outcomes[0]
    if keep is not None:
        write_worst_run(simulation, worst, keep)
    sys.exit(1 if worst.violated_rules or worst.error else 0)


def print_failed_run(outcome: fault_search.RunOutcome) -> None:
    """Print a run that broke a rule or ended with an error."""
    if outcome.violated_rules or outcome.error:
        click.echo(
            f"seed {outcome.seed}: {outcome.error or 'breaks ' + ', '.join(outcome.violated_rules)}",
            err=True,
        )


def write_worst_run(
    simulation: laboratory.SimulationConfig, worst: fault_search.RunOutcome, folder: Path
) -> None:
    """Write the worst run as a scenario script, reduced to the faults that are needed to reproduce it."""
    folder.mkdir(parents=True, exist_ok=True)

    def is_as_bad(candidate: laboratory.SimulationConfig) -> bool:
        outcome = fault_search.run_and_check(candidate)
        if worst.error:
            return bool(outcome.error)
        if worst.violated_rules:
            return outcome.violated_rules == worst.violated_rules
        return outcome.utility <= worst.utility + (1.0 - worst.utility) / 4

    minimized = fault_search.minimize(fault_search.draw_faults(simulation, worst.seed), is_as_bad)
    path = folder / f"{simulation.scenario.name}-{worst.seed}.star"
    path.write_text(fault_search.format_script(minimized), encoding="utf-8")
    click.echo(f"  reduced to {len(minimized.scenario.faults)} faults: {path}")


@lab.command()
@click.argument("message")
@scenario_argument
@seed_option
def explain(message: str, file: Path | None, seed: int | None) -> None:
    """Run a scenario and print the history of a MESSAGE, given by its Message-ID."""
    simulation = read_simulation_config(file, seed)
    result = laboratory.run_simulation(
        laboratory.SimulationConfig(
            simulation.scenario, simulation.forwarders, simulation.link, keep_trace=True
        )
    )
    lines = describe_message(result.trace, message)
    if not lines:
        click.echo(f"honeybarrow: the run has no message {message!r}", err=True)
        sys.exit(2)
    click.echo("\n".join(lines))
