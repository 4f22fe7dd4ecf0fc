"""Memory of this process as the kernel counts it, and returning freed memory to the kernel."""

from __future__ import annotations

import ctypes
from dataclasses import dataclass

_RESIDENT, _PEAK = "VmRSS:", "VmHWM:"


@dataclass(frozen=True, slots=True)
class MemoryUsage:
    """Resident memory of this process in bytes, now and at its peak; 0 if it can't be read."""

    resident_bytes: int = 0
    peak_bytes: int = 0


def read_memory_usage() -> MemoryUsage:
    """Read the memory of this process from ``/proc``."""
    sizes = {_RESIDENT: 0, _PEAK: 0}
    try:
        with open("/proc/self/status") as file:
            for line in file:
                name, _, value = line.partition("\t")
                if name in sizes:
                    sizes[name] = int(value.split()[0]) * 1024
    except (OSError, ValueError, IndexError):
        return MemoryUsage()
    return MemoryUsage(sizes[_RESIDENT], sizes[_PEAK])


def release_free_memory() -> None:
    """Return the allocator's free pages to the kernel, where the C library can."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
