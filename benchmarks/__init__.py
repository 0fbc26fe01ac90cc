"""Measurements of this project on the machine at hand, none part of CI.

Each prints one JSON object last.
"""
