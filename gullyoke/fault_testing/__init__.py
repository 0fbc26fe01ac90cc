"""Several processes of this program on loopback, faults between them from a script, and a verdict
(extra `lab`).
"""
