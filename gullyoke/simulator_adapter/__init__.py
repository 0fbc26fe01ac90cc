"""Adapts the simulator's wire protocol to the events and commands of the admission controller.

Only this package contains names of the wire protocol.
"""
