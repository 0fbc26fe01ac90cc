"""Fault tests: runs a fleet on loopback, injects scripted faults and checks it (extra `lab`)."""
