"""What fronts share: the desk with the decisions, repeats, timer, clock, counters, ends,
sockets.
"""
