"""Recorded bytes: the code must read them to the same values and write them again unchanged."""
