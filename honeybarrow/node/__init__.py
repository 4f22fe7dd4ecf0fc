"""The forwarder process on the platform: HTTP front, HTTP calls and discovery (see ``docs/node.md``).

The entry point is :func:`honeybarrow.node.main.main`, run by ``python -m honeybarrow.node``. The package does
not import the program's heavy libraries, because the platform limits processor time and memory.
"""
