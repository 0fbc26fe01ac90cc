"""Admission control: which requests a server admits, runs and rejects.

This package does no I/O, reads no clock and starts no threads.
"""
