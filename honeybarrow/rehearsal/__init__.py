"""Rehearsals: stand-in partners, register and clients, scenarios, and the judge of the six rules."""

from honeybarrow.rehearsal.client import ClientProgram
from honeybarrow.rehearsal.judge import RULES, Judge, Verdict, report
from honeybarrow.rehearsal.logbook import Entry, Logbook, read_logbook
from honeybarrow.rehearsal.partner import StandIn
from honeybarrow.rehearsal.play import Launcher, Play, StandIns
from honeybarrow.rehearsal.schema import SCENARIO_WORDS, Partner, Rehearsal, Station, Trouble

__all__ = [
    "RULES",
    "SCENARIO_WORDS",
    "ClientProgram",
    "Entry",
    "Judge",
    "Launcher",
    "Logbook",
    "Partner",
    "Play",
    "Rehearsal",
    "StandIn",
    "StandIns",
    "Station",
    "Trouble",
    "Verdict",
    "read_logbook",
    "report",
]
