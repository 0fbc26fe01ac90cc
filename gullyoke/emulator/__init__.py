"""A discrete-event model of a fleet, which runs the real admission controller on simulated servers.

It serves to evaluate changes and to draw charts and is not part of the daemon: its dependencies are
the extra `lab`. Times are whole microseconds. All randomness of a day comes from one seed, so the
same seed gives the same day.
"""
