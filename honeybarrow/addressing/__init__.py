"""Endpoint addresses and their health, the connection race between them, and the egress policy."""
