"""A discrete-event model of a fleet that drives the same decisions through the port.

For trying changes and drawing charts, not for the daemon: it and what it imports are the extra
`lab`. Times are whole microseconds; a day and all chance in it come from one seed, so the same seed
is the same day.
"""
