"""Keeps modules from being loaded that Twisted imports and that this process never uses.

They would take a quarter of its memory at rest. Most importers have a fallback for a missing module; the
others get a stand-in with the names that they import.
"""

from __future__ import annotations

import inspect
import sys
from types import ModuleType

# Their importers catch the ImportError: TLS is not used, and hashlib has implementations of its own.
_MISSING = ("OpenSSL", "ssl", "_hashlib")


class _UnusedFuture:
    """Stands for ``asyncio.Future``, of which there are no instances."""


class _UnusedEventLoop:
    """Stands for ``asyncio.AbstractEventLoop``, of which there are no instances."""


def skip_unused_modules() -> None:
    """Make the modules unavailable; has to be called before Twisted is imported."""
    for name in _MISSING:
        sys.modules[name] = None  # type: ignore[assignment]
    # Imported by twisted.python.compat for other packages; brings urllib.request, http.client and email.
    sys.modules["http.cookiejar"] = ModuleType("http.cookiejar")
    sys.modules["asyncio"] = _make_asyncio()


def _make_asyncio() -> ModuleType:
    """Return a stand-in with the names that twisted.internet.defer imports."""
    module = ModuleType("asyncio")
    module.AbstractEventLoop = _UnusedEventLoop  # type: ignore[attr-defined]
    module.Future = _UnusedFuture  # type: ignore[attr-defined]
    module.iscoroutine = inspect.iscoroutine  # type: ignore[attr-defined]
    return module
