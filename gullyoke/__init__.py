"""Admission control and scheduling for servers behind load balancers."""

__version__ = "0.2.0"
