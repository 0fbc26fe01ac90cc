"""Choices of many servers that add up: quota leases, load reports, turns and subsets.

The package has decisions and state alone: no I/O, no clock and no randomness but what is handed in.
docs/together-design.md says why each choice was made.
"""
