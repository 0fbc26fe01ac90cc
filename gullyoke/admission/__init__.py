"""Admission control: which requests a server takes, runs and rejects; no I/O, clock or threads."""
