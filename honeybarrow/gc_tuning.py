"""Settings of Python's cyclic garbage collector for a process with many long-lived objects.

By default, a full collection traverses all objects whenever their number has grown by a quarter. With
thousands of destinations, such a pause delays a batch of decisions while calls time out. A forwarder's
objects are freed by reference counting; only failures of the reactor create reference cycles.
"""

from __future__ import annotations

import gc

GENERATION_0_THRESHOLD = 20_000  # allocations minus deallocations
GENERATION_1_THRESHOLD = 20  # collections of generation 0
GENERATION_2_THRESHOLD = 100  # collections of generation 1


def reduce_gc_frequency() -> None:
    """Exclude the objects allocated so far from collection, and collect the others less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD)
