"""The soak test: real forwarder processes on loopback under random, overlapping faults, judged outside."""
