"""Calls to what reqs depend on while they run."""
