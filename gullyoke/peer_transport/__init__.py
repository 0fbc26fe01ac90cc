"""Membership on sockets.

Datagrams under a key, one small thread, and what an operator asks on loopback.
"""
