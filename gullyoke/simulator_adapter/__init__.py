"""The adapter to the simulator: its wire on one side, the decisions' commands on the other.

The wire's names stand in this package alone.
"""
