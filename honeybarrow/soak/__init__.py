"""Soak test: real forwarder processes on loopback under random faults, checked from their socket traffic."""
