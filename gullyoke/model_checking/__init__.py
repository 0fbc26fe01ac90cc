"""Walks through all that can happen to small worlds made of the very modules that run.

Messages lost, doubled, reordered and late, stalls, restarts, clocks that differ. For tests and
measurements, not for the daemon.
"""
