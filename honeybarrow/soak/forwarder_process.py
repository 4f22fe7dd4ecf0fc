"""One real forwarder process under test: its folder, its configuration, its starts and its ends."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
import zlib
from pathlib import Path
from typing import Any

from honeybarrow.soak.discovery import StandInDiscovery
from honeybarrow.soak.fault_shim import FaultShim
from honeybarrow.soak.history import EventKind, History

KILL_DELAY_S = 3.7  # from SIGTERM to SIGKILL
RESTART_DELAY_S = 0.6  # from the end of a process to its next start
READY_TIMEOUT_S = 30.0
READY_CHECK_S = 0.05
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STRICT_GUARD_VARIABLE = "HONEYBARROW_STRICT_GUARD"
_VIOLATION = re.compile(r"guard_violation \{.*\}")


class ForwarderUnderTest:
    """A forwarder with its state folder, over all its processes.

    ``descriptors``: its limit; ``port``: that it listens on; ``source``: the checkout whose program it runs,
    ``None`` for this one.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        settings: dict[str, Any],
        discovery: StandInDiscovery,
        history: History,
        shim: FaultShim | None,
        descriptors: int,
        source: Path | None,
        port: int,
    ) -> None:
        self.name, self.folder, self.settings = name, folder, settings
        self.discovery, self.history, self.shim, self.descriptors = discovery, history, shim, descriptors
        self.source = source
        self.state = folder / "state"
        self.state.mkdir(parents=True, exist_ok=True)
        self.address = (discovery.host, port)
        self.discovery_number = 0  # which of the two addresses it uses
        self.process: subprocess.Popen[bytes] | None = None
        self.is_ending = False  # by a signal of the plan
        self.processor_s = 0.0  # of the processes that have ended

    def write_config(self) -> None:
        """Write the configuration file, as the platform would have it now."""
        config = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": self.discovery.addresses[self.name][self.discovery_number],
            "seed": f"{zlib.crc32(self.name.encode()):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.descriptors, "disk_mb": 3},
            "known": self.discovery.known_list(self.name),
            "settings": self.settings,
        }
        partial = self.folder / "config.json.new"
        partial.write_text(json.dumps(config))
        partial.rename(self.folder / "config.json")

    async def start(self) -> None:
        """Start a process and wait until it is ready."""
        self.write_config()
        environment = {
            **os.environ,
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_STATE": str(self.state),
            STRICT_GUARD_VARIABLE: "",
            **(self.shim.environment() if self.shim else {}),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "honeybarrow.node"],
                cwd=self.source,  # whose package goes before the installed one
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.is_ending = False
        self.history.add(EventKind.PROCESS, self.name, detail="started")
        started_s = time.monotonic()
        while time.monotonic() - started_s < READY_TIMEOUT_S:
            await asyncio.sleep(READY_CHECK_S)
            if self.process.poll() is not None:
                return
            if await self._is_ready():
                took_s = time.monotonic() - started_s
                self.history.add(EventKind.PROCESS, self.name, detail="ready", amount=took_s)
                return
        self.history.add(EventKind.PROCESS, self.name, detail="never ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.address), 0.5)
            writer.write(b"GET /up HTTP/1.1\r\nHost: o\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
        except (TimeoutError, OSError):
            return False
        return b" 200 " in line

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if there is a process."""
        if self.process is not None and self.process.poll() is None:
            self.history.add(EventKind.PROCESS, self.name, detail=number.name)
            self.process.send_signal(number)

    async def kill_and_restart(self, wall_step_s: float = 0.0) -> None:
        """Kill the process and start the next, with a step of the wall clock in between."""
        self.is_ending = True
        self.send_signal(signal.SIGKILL)
        await self._wait_for_end()
        await self._restart(wall_step_s)

    async def terminate_and_restart(self, wall_step_s: float = 0.0) -> None:
        """SIGTERM, SIGKILL after the platform's shortest time, and the next start."""
        self.is_ending = True
        self.send_signal(signal.SIGTERM)
        await asyncio.sleep(KILL_DELAY_S)
        self.send_signal(signal.SIGKILL)
        await self._wait_for_end()
        await self._restart(wall_step_s)

    async def restart_if_dead(self) -> None:
        """Start the next process where a fault has ended the last one."""
        if self.process is not None and self.process.poll() is not None and not self.is_ending:
            self.is_ending = True
            self.history.add(EventKind.PROCESS, self.name, detail=f"exited {self.process.returncode}")
            await self._restart(0.0)

    async def _restart(self, wall_step_s: float) -> None:
        if self.shim is not None and wall_step_s:
            self.shim.step_wall_clock(wall_step_s)
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    async def _wait_for_end(self) -> None:
        assert self.process is not None
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.history.add(EventKind.PROCESS, self.name, detail=f"ended {self.process.returncode}")

    def reload(self) -> None:
        """Write a configuration with the other address of discovery and send SIGHUP."""
        self.discovery_number = 1 - self.discovery_number
        self.write_config()
        self.send_signal(signal.SIGHUP)

    async def pause(self, seconds: float) -> None:
        """Stop the process and let it go on."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)

    async def stop(self) -> int | None:
        """End the process in order; its exit status, ``None`` if it had to be killed."""
        if self.process is None or self.process.poll() is not None:
            return self.process.returncode if self.process else None
        self.is_ending = True
        self.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + KILL_DELAY_S
        while time.monotonic() < until_s:
            if self.process.poll() is not None:
                return self.process.returncode
            await asyncio.sleep(0.02)
        self.process.kill()
        self.process.wait()
        return None

    def kill(self) -> None:
        """End the process at once, as the run ends."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def processor_seconds(self) -> float:
        """Return the processor time of the present process so far."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def log_text(self) -> str:
        """Return the log of all processes."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def guard_violations(self) -> list[str]:
        """Return the violations that the guard has logged."""
        return _VIOLATION.findall(self.log_text())


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free and differ: found one by one, the same could come twice."""
    probes = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [int(probe.getsockname()[1]) for probe in probes]
    for probe in probes:
        probe.close()
    return ports
