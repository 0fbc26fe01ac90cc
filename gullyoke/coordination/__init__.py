"""Coordination between servers: quota leases, load reports, time slots and back-end subsets.

The package holds decisions and state only. It does no I/O; times and random numbers are passed in.
docs/together-design.md gives the reason for each choice.
"""
