"""Comparison of a zone outage with and without a fleet: nine forwarder processes each, on real sockets.

    python -m benchmarks.zone_sockets --seeds 1,2 [--how mute]

Prints the lines of the rehearsal reports about the zone.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tempfile
from pathlib import Path

import click

from honeybarrow import rehearsal

SCENARIO = Path(rehearsal.__file__).parent / "scenarios" / "zone-lost.star"
PORTS = re.compile(r"\b(27|28)(\d{3})\b")


def make_script(has_fleet: bool, how: str) -> str:
    """Return the scenario ``zone-lost``; without a fleet it has no link faults and uses other ports."""
    text = SCENARIO.read_text(encoding="utf-8")
    text = text.replace('who = "b")', f'who = "b", how = "{how}")')
    if has_fleet:
        return text
    text = re.sub(r"\n        fleet = fleet\(.*?\n        \),", "", text, flags=re.DOTALL)
    text = "\n".join(line for line in text.splitlines() if 'trouble("link_' not in line)
    return PORTS.sub(lambda match: f"{int(match.group(1)) + 2}{match.group(2)}", text)


@click.command()
@click.option("--seeds", default="1,2")
@click.option("--how", default="mute")
def main(seeds: str, how: str) -> None:
    """Run the rehearsals and print their results for the zone."""
    with tempfile.TemporaryDirectory() as folder:
        for seed in seeds.split(","):
            running = []
            for has_fleet in (False, True):
                file = Path(folder) / f"{'fleet' if has_fleet else 'alone'}.star"
                file.write_text(make_script(has_fleet, how), encoding="utf-8")
                command = [sys.executable, "-m", "honeybarrow", "rehearse", str(file), "--seed", seed]
                running.append((file.stem, subprocess.Popen(command, stdout=subprocess.PIPE, text=True)))
            for name, process in running:
                report, _ = process.communicate(timeout=300)
                zone_lines = [
                    line.strip() for line in report.splitlines() if re.match(r"rehearsal|  zone", line)
                ]
                click.echo(f"{name}, {how}: " + "; ".join(zone_lines))


if __name__ == "__main__":
    main()
