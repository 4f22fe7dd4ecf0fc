"""The platform's protocol: one more way in and one more way out of the same core (``docs/node.md``).

Entry: :func:`honeybarrow.node.main.main`, started by ``python -m honeybarrow.node``. Nothing here imports the
program's heavy libraries: the platform gives a part of a core and little memory.
"""
