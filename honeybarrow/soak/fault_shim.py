"""Control of the preloaded library that steps a process's wall clock and injects system call errors.

The library is built from ``fault_shim.c`` by the system's C compiler and preloaded through the environment
variables of :meth:`FaultShim.environment`. It reads its configuration from a memory-mapped file, which
:class:`FaultShim` changes while the process runs.
"""

from __future__ import annotations

import ctypes
import enum
import hashlib
import mmap
import os
import shutil
import subprocess
import time
from collections.abc import Sequence
from pathlib import Path

from honeybarrow.errors import HoneybarrowError

SOURCE = Path(__file__).with_name("fault_shim.c")
_MAGIC = 0x4842464C
_MAX_ERRNOS = 8
_MAX_PATH_BYTES = 256
_MILLION = 1_000_000
_NANOSECONDS = 1_000_000_000
_NO_END_NS = 1 << 63


class NoCompilerError(HoneybarrowError, RuntimeError):
    """The C compiler is missing or can't build the fault injection library."""

    code = "HB410"
    remedy = "install the system's C compiler (cc or gcc); clock and system call faults require it"


class SystemCall(enum.IntEnum):
    """System calls that can fail, in the order of ``enum system_call`` in ``fault_shim.c``."""

    SOCKET = 0
    CONNECT = 1
    BIND = 2
    LISTEN = 3
    ACCEPT = 4
    RECV = 5
    SEND = 6
    SHUTDOWN = 7
    EPOLL_CTL = 8
    OPEN = 9
    READ = 10
    WRITE = 11
    FSYNC = 12
    RENAME = 13
    UNLINK = 14
    STAT = 15
    LIST = 16
    TRUNCATE = 17


class _Rule(ctypes.Structure):
    _fields_ = (
        ("until_ns", ctypes.c_uint64),
        ("fail_per_million", ctypes.c_uint32),
        ("short_per_million", ctypes.c_uint32),
        ("kill_per_million", ctypes.c_uint32),
        ("errnos", ctypes.c_int32 * _MAX_ERRNOS),
        ("hits", ctypes.c_uint32),
    )


class _Control(ctypes.Structure):
    _fields_ = (
        ("magic", ctypes.c_uint32),
        ("seed", ctypes.c_uint32),
        ("wall_offset_ns", ctypes.c_int64),
        ("stall_until_ns", ctypes.c_uint64),
        ("stall_per_million", ctypes.c_uint32),
        ("max_stall_us", ctypes.c_uint32),
        ("folder", ctypes.c_char * _MAX_PATH_BYTES),
        ("boot_id_file", ctypes.c_char * _MAX_PATH_BYTES),
        ("rules", _Rule * len(SystemCall)),
    )


def build_shim(folder: Path) -> Path:
    """Return the path of the library in ``folder``, compiling it if it does not exist.

    :raises NoCompilerError: If there is no compiler, or the compilation fails.
    """
    library = folder / f"fault_shim-{hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]}.so"
    if library.exists():
        return library
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompilerError("there is no C compiler")
    partial = library.with_suffix(f".{os.getpid()}")
    command = [compiler, "-shared", "-fPIC", "-O2", "-o", str(partial), str(SOURCE), "-ldl"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    if completed.returncode != 0:
        raise NoCompilerError(f"the compiler can't build the library: {completed.stderr[:500]}")
    partial.rename(library)
    return library


class FaultShim:
    """Fault configuration of one process, kept across its restarts.

    :param library: Path that :func:`build_shim` returned.
    :param control_file: File to create and share with the process.
    :param folder: Folder whose files are subject to faults.
    :param seed: Seed of the library's random numbers.
    """

    def __init__(self, library: Path, control_file: Path, folder: Path, seed: int) -> None:
        self.library, self.control_file = library, control_file
        control_file.write_bytes(bytes(ctypes.sizeof(_Control)))
        with control_file.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), ctypes.sizeof(_Control))
        self._control = _Control.from_buffer(self._memory)
        self._control.folder = os.fsencode(folder)
        self._control.seed = seed & 0xFFFFFFFF
        self._control.magic = _MAGIC

    def environment(self) -> dict[str, str]:
        """Return the environment variables that load the library into a process."""
        return {"LD_PRELOAD": str(self.library), "HONEYBARROW_FAULT_CONTROL": str(self.control_file)}

    @property
    def wall_offset_s(self) -> float:
        """Offset of the process's wall clock from the machine's, in seconds."""
        return int(self._control.wall_offset_ns) / _NANOSECONDS

    def step_wall_clock(self, seconds: float) -> None:
        """Step the wall clock of the process; negative ``seconds`` step it back."""
        self._control.wall_offset_ns += int(seconds * _NANOSECONDS)

    def set_boot_id_file(self, path: Path | None) -> None:
        """Replace the machine's boot id by the content of a file, or restore it with ``None``."""
        self._control.boot_id_file = b"" if path is None else os.fsencode(path)

    def fail(
        self,
        call: SystemCall,
        errnos: Sequence[int] = (),
        failure_fraction: float = 1.0,
        seconds: float | None = None,
        short_transfer_fraction: float = 0.0,
        kill_fraction: float = 0.0,
    ) -> None:
        """Inject faults into a system call.

        :param errnos: Errors to return, one chosen at random per failing call.
        :param failure_fraction: Fraction of the calls that fail.
        :param seconds: Duration of the faults; ``None`` for no limit.
        :param short_transfer_fraction: Fraction of the transfers that move only a part of the bytes.
        :param kill_fraction: Fraction of the file writes that write a part and then kill the process.
        """
        rule = self._control.rules[call]
        rule.until_ns = 0  # disables the rule while it is updated
        rule.fail_per_million = int(failure_fraction * _MILLION) if errnos else 0
        rule.short_per_million = int(short_transfer_fraction * _MILLION)
        rule.kill_per_million = int(kill_fraction * _MILLION)
        rule.errnos = (ctypes.c_int32 * _MAX_ERRNOS)(*errnos[: _MAX_ERRNOS - 1])
        rule.until_ns = _NO_END_NS if seconds is None else time.monotonic_ns() + int(seconds * _NANOSECONDS)

    def stall(self, max_seconds: float, stall_fraction: float, seconds: float) -> None:
        """Delay a fraction of the sends and file writes for ``seconds`` from now.

        Each delay is random, up to ``max_seconds``.
        """
        self._control.max_stall_us = int(max_seconds * _MILLION)
        self._control.stall_per_million = int(stall_fraction * _MILLION)
        self._control.stall_until_ns = time.monotonic_ns() + int(seconds * _NANOSECONDS)

    def clear_faults(self, call: SystemCall | None = None) -> None:
        """Stop the faults of one system call, or of all."""
        for each in SystemCall if call is None else (call,):
            self._control.rules[each].until_ns = 0

    def hits(self, call: SystemCall) -> int:
        """Return the number of faults injected into a system call so far."""
        return int(self._control.rules[call].hits)

    def close(self) -> None:
        """Release the mapped file; the process keeps its own mapping."""
        del self._control
        self._memory.close()
