"""``honeybarrow soak``: runs forwarder processes on loopback under random faults and checks the rules."""

from __future__ import annotations

import shutil
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import click

from honeybarrow.soak.fault_shim import NoCompilerError, build_shim
from honeybarrow.soak.plan import Fault, FaultKind, SoakSpec
from honeybarrow.soak.rules import SoakRule, SoakViolation
from honeybarrow.soak.run import SoakResult, run_soak
from honeybarrow.soak.shrink import shrink_faults

MAX_PRINTED_VIOLATIONS = 3  # of one run
MAX_FORWARDERS = 64


@click.command("soak")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first run.")
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="Number of runs.")
@click.option("--forwarders", type=click.IntRange(1, MAX_FORWARDERS), default=24, show_default=True)
@click.option(
    "--load",
    type=click.FloatRange(1.0, 600.0),
    default=20.0,
    show_default=True,
    help="Duration of the load in seconds.",
)
@click.option(
    "--rate",
    type=click.FloatRange(0.1, 200.0),
    default=6.0,
    show_default=True,
    help="Messages per second to each forwarder.",
)
@click.option("--faults", type=click.IntRange(0), default=60, show_default=True)
@click.option("--kind", "kinds", type=click.Choice([k.value for k in FaultKind]), multiple=True)
@click.option(
    "--source", type=click.Path(path_type=Path, exists=True), help="Run the forwarder of this checkout."
)
@click.option("--keep", type=click.Path(path_type=Path), help="Keep folders and logs here.")
@click.option("--shrink", is_flag=True, help="Reduce the faults of the first failing run.")
def soak(
    seed: int,
    seeds: int,
    forwarders: int,
    load: float,
    rate: float,
    faults: int,
    kinds: tuple[str, ...],
    source: Path | None,
    keep: Path | None,
    shrink: bool,
) -> None:
    """Run real processes under faults; exit status 1 if a rule is broken.

    The seed determines the faults and the load, but the timing of real processes differs between runs.
    """
    folder = Path(tempfile.mkdtemp(prefix="honeybarrow-soak-"))
    library = _build_fault_shim(folder)
    fault_kinds = tuple(FaultKind(kind) for kind in kinds) or tuple(FaultKind)
    first_spec = SoakSpec(seed, forwarders, load_s=load, rate_per_s=rate, faults=faults, kinds=fault_kinds)
    violations: Counter[str] = Counter()
    for number in range(seed, seed + seeds):
        spec = replace(first_spec, seed=number)
        run_folder = folder / f"seed-{number}"
        result = run_soak(spec, run_folder, library, source=source)
        _print_result(result, spec)
        violations.update({violation.rule.value for violation in result.violations})
        if keep is not None:
            shutil.copytree(run_folder, keep / run_folder.name, dirs_exist_ok=True)
        if not result.has_passed and shrink:
            _print_shrunk_faults(result, spec, folder, library, source)
            break
    click.echo(f"{seeds} runs; violations by rule: {dict(violations) or 'none'}")
    shutil.rmtree(folder, ignore_errors=True)
    sys.exit(1 if violations else 0)


def _build_fault_shim(folder: Path) -> Path | None:
    """Return the path of the fault shim, or ``None`` if it can't be compiled."""
    try:
        return build_shim(folder)
    except NoCompilerError as error:
        click.echo(f"skipped faults of clocks, system calls and folders: {error}", err=True)
        return None


def _print_result(result: SoakResult, spec: SoakSpec) -> None:
    """Print the counts of a run, its first violations and the command that repeats it."""
    counts = " ".join(f"{name}={count}" for name, count in result.counts.items())
    rules = Counter(violation.rule.value for violation in result.violations)
    verdict = "rules kept" if result.has_passed else f"BROKEN {dict(rules)}"
    click.echo(f"seed {result.seed}: {verdict}; {counts}; harness lateness {result.max_lateness_s:.3f} s")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        _print_violation(result, violation)
    if not result.has_passed:
        options = f"--forwarders {spec.forwarders} --load {spec.load_s:g} --rate {spec.rate_per_s:g}"
        kinds = "" if spec.kinds == tuple(FaultKind) else "".join(f" --kind {kind}" for kind in spec.kinds)
        click.echo(
            f"  to repeat: honeybarrow soak --seed {spec.seed} {options} --faults {spec.faults}{kinds}"
        )


def _print_violation(result: SoakResult, violation: SoakViolation) -> None:
    """Print a violation and the events that concern its message."""
    click.echo(f"  {violation.rule}: {violation.forwarder} {violation.message} {violation.text}")
    for line in result.history.related_events(violation.message, violation.forwarder):
        click.echo(f"    {line}")


def _print_shrunk_faults(
    result: SoakResult, spec: SoakSpec, folder: Path, library: Path | None, source: Path | None
) -> None:
    """Print the fewest faults found that still break the first violated rule."""
    rule, run_count = result.violations[0].rule, 0

    def find_violated_rules(faults: Sequence[Fault]) -> frozenset[SoakRule]:
        nonlocal run_count
        run_count += 1
        shrunk_result = run_soak(spec, folder / f"shrink-{run_count}", library, faults, source)
        return frozenset(violation.rule for violation in shrunk_result.violations)

    remaining = shrink_faults(result.faults, rule, find_violated_rules)
    click.echo(
        f"  {rule} is still broken with {len(remaining)} of {len(result.faults)} faults,"
        f" after {run_count} runs:"
    )
    for fault in remaining:
        click.echo(f"    {fault.format()}")
