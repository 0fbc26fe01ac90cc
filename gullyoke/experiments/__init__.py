"""Experiments on the emulator: arms, days and seeds in, tables, charts and a report out.

The extra `lab`.
"""
