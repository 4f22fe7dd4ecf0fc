"""Entry point of ``python -m honeybarrow``."""

from honeybarrow.cli import main

if __name__ == "__main__":
    main()
