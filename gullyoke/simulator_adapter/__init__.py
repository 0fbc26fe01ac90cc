"""The adapter for the bench: its wire on one side, the port on the other.

Wire names end here.
"""
