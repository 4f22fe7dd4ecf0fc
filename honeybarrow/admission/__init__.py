"""Admission of client messages: client identity, capacity, fair sharing and duplicate detection."""
