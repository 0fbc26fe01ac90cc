"""The ways in: one table of connections for all, each protocol's exchange, what a message asks
for.
"""
