"""Experiments on the emulator: inputs are arms, days and seeds.

The results are tables, charts and a report. Needs the optional dependencies `lab`.
"""
