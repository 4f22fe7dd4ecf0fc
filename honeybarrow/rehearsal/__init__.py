"""Rehearsals: scenarios with stand-in partners, register and clients, and the rule checker for their runs."""

from honeybarrow.rehearsal.event_log import EventKind, EventLog, EventLogEntry, read_event_log
from honeybarrow.rehearsal.rule_check_result import RULES, Rule, RuleCheckResult, format_report
from honeybarrow.rehearsal.rule_checker import RuleChecker
from honeybarrow.rehearsal.scenario_runner import ForwarderLauncher, ScenarioRunner
from honeybarrow.rehearsal.schema import SCENARIO_RECORD_TYPES, EndpointConfig, Fault, PartnerConfig, Scenario
from honeybarrow.rehearsal.stand_in_client import StandInClient
from honeybarrow.rehearsal.stand_in_environment import StandInEnvironment
from honeybarrow.rehearsal.stand_in_server import StandInServer

__all__ = [
    "RULES",
    "SCENARIO_RECORD_TYPES",
    "EndpointConfig",
    "EventKind",
    "EventLog",
    "EventLogEntry",
    "Fault",
    "ForwarderLauncher",
    "PartnerConfig",
    "Rule",
    "RuleCheckResult",
    "RuleChecker",
    "Scenario",
    "ScenarioRunner",
    "StandInClient",
    "StandInEnvironment",
    "StandInServer",
    "format_report",
    "read_event_log",
]
