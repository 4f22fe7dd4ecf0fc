"""Run one forwarder on the platform in the foreground: ``python -m honeybarrow.node``."""

import sys

from honeybarrow.node import signals

if __name__ == "__main__":
    # Installed first so that a SIGHUP during the imports does not terminate the process.
    signals.install_handlers()
    from honeybarrow.node.unused_modules import skip_unused_modules

    skip_unused_modules()
    from honeybarrow.node.main import main

    sys.exit(main())
