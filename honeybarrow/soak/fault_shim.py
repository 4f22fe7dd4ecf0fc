"""Controls the preloaded library that steps a process's wall clock and makes its system calls fail.

The library is built from ``fault_shim.c`` by the system's C compiler. A process gets it by the environment
that :meth:`FaultShim.environment` returns, and reads its orders from a mapped file while it runs.
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
_FOREVER_NS = 1 << 63


class NoCompilerError(HoneybarrowError, RuntimeError):
    """There is no C compiler, or it can't build the library."""

    code = "HB410"
    remedy = "install the system's C compiler (cc or gcc); faults of clocks and system calls need it"


class SystemCall(enum.IntEnum):
    """The system calls that can be made to fail; the order is that of ``enum point`` in ``fault_shim.c``."""

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
    """Return the library, built into ``folder`` unless it is there.

    :raises NoCompilerError: if it can't be built.
    """
    library = folder / f"fault_shim-{hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]}.so"
    if library.exists():
        return library
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompilerError("there is no C compiler")
    partial = library.with_suffix(f".{os.getpid()}")
    command = [compiler, "-shared", "-fPIC", "-O2", "-o", str(partial), str(SOURCE), "-ldl"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise NoCompilerError(f"the compiler can't build the library: {done.stderr[:500]}")
    partial.rename(library)
    return library


class FaultShim:
    """The orders to one process, over its restarts.

    ``library``: from :func:`build_shim`; ``control_file``: created here; ``folder``: only files below it are
    subject to faults; ``seed``: of the library's draws.
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
        """Return what the environment of the process needs."""
        return {"LD_PRELOAD": str(self.library), "HONEYBARROW_FAULT_CONTROL": str(self.control_file)}

    @property
    def wall_offset_s(self) -> float:
        """How far the wall clock of the process is from the machine's, in seconds."""
        return int(self._control.wall_offset_ns) / _NANOSECONDS

    def step_wall_clock(self, seconds: float) -> None:
        """Step the wall clock of the process, forward or back."""
        self._control.wall_offset_ns += int(seconds * _NANOSECONDS)

    def set_boot_id_file(self, path: Path | None) -> None:
        """Let the process read this file in place of the machine's boot id."""
        self._control.boot_id_file = b"" if path is None else os.fsencode(path)

    def fail(
        self,
        call: SystemCall,
        errnos: Sequence[int] = (),
        share: float = 1.0,
        seconds: float | None = None,
        short_share: float = 0.0,
        kill_share: float = 0.0,
    ) -> None:
        """Let a share of these calls fail by one of the errnos, for so many seconds (``None``: for ever).

        ``short_share``: of transfers that move a part of the bytes; ``kill_share``: of file writes that write
        a part and then kill the process.
        """
        rule = self._control.rules[call]
        rule.until_ns = 0  # the rule is off while it is written
        rule.fail_per_million = int(share * _MILLION) if errnos else 0
        rule.short_per_million = int(short_share * _MILLION)
        rule.kill_per_million = int(kill_share * _MILLION)
        rule.errnos = (ctypes.c_int32 * _MAX_ERRNOS)(*errnos[: _MAX_ERRNOS - 1])
        rule.until_ns = _FOREVER_NS if seconds is None else time.monotonic_ns() + int(seconds * _NANOSECONDS)

    def stall(self, max_seconds: float, share: float, seconds: float) -> None:
        """Hold up a share of the sends and file writes, each for up to ``max_seconds``, for so long."""
        self._control.max_stall_us = int(max_seconds * _MILLION)
        self._control.stall_per_million = int(share * _MILLION)
        self._control.stall_until_ns = time.monotonic_ns() + int(seconds * _NANOSECONDS)

    def recover(self, call: SystemCall | None = None) -> None:
        """End the faults of one system call, or of all."""
        for each in SystemCall if call is None else (call,):
            self._control.rules[each].until_ns = 0

    def hits(self, call: SystemCall) -> int:
        """Return how many faults of this system call there were."""
        return int(self._control.rules[call].hits)

    def close(self) -> None:
        """Release the mapped file; the process keeps its own mapping."""
        del self._control
        self._memory.close()
