"""Run one forwarder on the platform in the foreground: ``python -m honeybarrow.node``."""

import sys

from honeybarrow.node import signals

if __name__ == "__main__":
    # Installed first so that a SIGHUP during the imports does not terminate the process.
    signals.install_handlers()
    # Prevents Twisted from importing pyOpenSSL, which costs memory and startup time; TLS is not used here.
    sys.modules["OpenSSL"] = None  # type: ignore[assignment]
    from honeybarrow.node.main import main

    sys.exit(main())
