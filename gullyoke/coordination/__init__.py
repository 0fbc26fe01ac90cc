"""Choices of many servers that add up.

Shares of what is limited for the whole fleet, turns, subsets. Decisions and state alone; no I/O, no
clock, no chance but what is handed in. docs/together-design.md says why so.
"""
