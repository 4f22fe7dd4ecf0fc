"""Control of one real forwarder under test: configuration, starts, signals and restarts."""

from __future__ import annotations

import asyncio
import json
import os
import re
import resource
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

KILL_DELAY_S = 3.7  # from SIGTERM to SIGKILL, as on the platform
RESTART_DELAY_S = 0.6  # from the end of a process to its next start
READY_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.05
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STRICT_GUARD_VARIABLE = "HONEYBARROW_STRICT_GUARD"
OVER_MEMORY_LIMIT = "over its memory limit"  # detail of the event; its amount is the peak in kB
_VIOLATION = re.compile(r"guard_violation \{.*\}")


class ForwarderUnderTest:
    """A forwarder and its state folder, across the restarts of its process.

    :param descriptors: Limit of open sockets in the forwarder's configuration.
    :param source: Checkout from which to run the forwarder; ``None`` for the installed package.
    :param port: Port on which the forwarder listens.
    :param memory_mb: Limit of memory in the forwarder's configuration.
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
        memory_mb: int = 192,
    ) -> None:
        self.memory_mb = memory_mb
        self.name, self.folder, self.settings = name, folder, settings
        self.discovery, self.history, self.shim, self.descriptors = discovery, history, shim, descriptors
        self.source = source
        self.state_folder = folder / "state"
        self.state_folder.mkdir(parents=True, exist_ok=True)
        self.address = (discovery.host, port)
        self.discovery_index = 0  # index into its two discovery addresses
        self.process: subprocess.Popen[bytes] | None = None
        self.is_stopping = False  # True from an injected signal or a detected exit to the next start
        self.peak_kb = 0  # largest resident memory of all its processes
        self._reported_pid = 0  # process whose memory exceeded the limit
        self.cpu_s = 0.0  # CPU time of processes that have ended

    def write_config(self) -> None:
        """Write the configuration file with the current endpoint list."""
        config = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": self.discovery.addresses[self.name][self.discovery_index],
            "seed": f"{zlib.crc32(self.name.encode()):x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors, "disk_mb": 3},
            "known": self.discovery.endpoint_list(self.name),
            "settings": self.settings,
        }
        partial = self.folder / "config.json.new"
        partial.write_text(json.dumps(config))
        partial.rename(self.folder / "config.json")

    async def start(self) -> None:
        """Start a process and wait until it is ready, exits or :data:`READY_TIMEOUT_S` has passed."""
        self.write_config()
        environment = {
            **os.environ,
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_STATE": str(self.state_folder),
            STRICT_GUARD_VARIABLE: "",
            **(self.shim.environment() if self.shim else {}),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "honeybarrow.node"],
                cwd=self.source,  # its package takes precedence over the installed one
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.is_stopping = False
        self.history.add(EventKind.PROCESS, self.name, detail="started")
        started_s = time.monotonic()
        while time.monotonic() - started_s < READY_TIMEOUT_S:
            await asyncio.sleep(READY_POLL_INTERVAL_S)
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
        """Send a signal if the process is running."""
        if self.process is None or self.process.poll() is not None:
            return
        if number is signal.SIGHUP and not self._handles(number):
            return  # the interpreter has not run a line of the program yet, so the signal would end it
        self.history.add(EventKind.PROCESS, self.name, detail=number.name)
        self.process.send_signal(number)

    def _handles(self, number: signal.Signals) -> bool:
        """Return whether the process has installed a handler for a signal."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        mask = next((line for line in status.splitlines() if line.startswith("SigCgt:")), "SigCgt: 0")
        return bool(int(mask.split()[1], 16) >> (number - 1) & 1)

    async def kill_and_restart(self, wall_step_s: float = 0.0) -> None:
        """Kill the process, step the wall clock and start the next process."""
        self._begin_stop()
        self.send_signal(signal.SIGKILL)
        await self._wait_for_exit()
        await self._restart(wall_step_s)

    async def terminate_and_restart(self, wall_step_s: float = 0.0) -> None:
        """Send SIGTERM, then SIGKILL after :data:`KILL_DELAY_S`, and start the next process."""
        self._begin_stop()
        self.send_signal(signal.SIGTERM)
        kill_s = time.monotonic() + KILL_DELAY_S
        exited = asyncio.create_task(self._wait_for_exit())
        await asyncio.wait((exited,), timeout=KILL_DELAY_S)
        await asyncio.sleep(kill_s - time.monotonic())
        self.send_signal(signal.SIGKILL)
        await exited
        await self._restart(wall_step_s)

    async def restart_if_exited(self) -> None:
        """Start the next process if the last one has exited on its own."""
        if self.process is not None and self.process.poll() is not None and not self.is_stopping:
            self._begin_stop()
            await self._restart(0.0)

    def _begin_stop(self) -> None:
        """Mark the process as stopping, and record its exit if it has exited on its own."""
        self.is_stopping = True
        if self.process is not None and self.process.poll() is not None:
            self.history.add(EventKind.PROCESS, self.name, detail=f"exited {self.process.returncode}")

    async def _restart(self, wall_step_s: float) -> None:
        if self.shim is not None and wall_step_s:
            self.shim.step_wall_clock(wall_step_s)
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    async def _wait_for_exit(self) -> None:
        assert self.process is not None
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.history.add(EventKind.PROCESS, self.name, detail=f"ended {self.process.returncode}")

    def reload(self) -> None:
        """Switch the configuration to the other discovery address and send SIGHUP."""
        self.discovery_index = 1 - self.discovery_index
        self.write_config()
        self.send_signal(signal.SIGHUP)

    async def pause(self, seconds: float) -> None:
        """Suspend the process for ``seconds``."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send_signal(signal.SIGCONT)

    async def stop(self) -> int | None:
        """Stop the process with SIGTERM and return its exit status, or ``None`` if it had to be killed."""
        if self.process is None or self.process.poll() is not None:
            return self.process.returncode if self.process else None
        self.is_stopping = True
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
        """Kill the process without recording an event."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def cpu_seconds(self) -> float:
        """Return the CPU time that the running process has used, in seconds."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def record_memory(self) -> None:
        """Record once for each process if its peak exceeds the limit."""
        process = self.process
        if process is None or process.poll() is not None or self._reported_pid == process.pid:
            return
        try:
            status = Path(f"/proc/{process.pid}/status").read_text()
        except OSError:
            return
        peak_kb = next((int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM:")), 0)
        self.peak_kb = max(self.peak_kb, peak_kb)
        if peak_kb * 1024 > self.memory_mb * 1_000_000:
            self._reported_pid = process.pid
            self.history.add(EventKind.PROCESS, self.name, detail=OVER_MEMORY_LIMIT, amount=peak_kb)

    def log_text(self) -> str:
        """Return the log of all processes of this forwarder."""
        path = self.folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def guard_violations(self) -> list[str]:
        """Return the guard violations in the log."""
        return _VIOLATION.findall(self.log_text())


def free_ports(host: str, count: int) -> list[int]:
    """Return ``count`` distinct free ports.

    All of them are bound at the same time, so that no port is returned twice.
    """
    listeners = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [int(listener.getsockname()[1]) for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def raise_descriptor_limit() -> None:
    """Raise the descriptor limit to the hard limit; each link needs a listener."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
