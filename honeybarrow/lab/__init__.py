"""Deterministic simulation: the unmodified service on a virtual clock and a simulated network.

The seed of a scenario determines the whole run.
"""

from honeybarrow.lab.simulated_network import LinkConfig, NetworkSimulator, SimulatedHost
from honeybarrow.lab.simulation import SimulationConfig, SimulationResult, run_simulation

__all__ = [
    "LinkConfig",
    "NetworkSimulator",
    "SimulatedHost",
    "SimulationConfig",
    "SimulationResult",
    "run_simulation",
]
