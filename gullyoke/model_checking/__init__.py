"""Explores all orders of events in small models that run the production modules.

The events are lost, duplicated, reordered and late messages, stalls, restarts and clocks that
differ. The package is for tests and measurements; the daemon does not use it.
"""
