"""Benchmarks to run by hand; none is part of CI.

The last line that each prints is a JSON object.
"""
