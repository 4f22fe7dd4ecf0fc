"""Settings: a Starlark script into checked records."""

from honeybarrow.config.schema import Forwarder
from honeybarrow.config.script import WORDS, ConfigError, duration_us, evaluate, every, one, read

__all__ = ["WORDS", "ConfigError", "Forwarder", "duration_us", "evaluate", "every", "one", "read"]
